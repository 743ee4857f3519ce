#pragma once

#include "storage/file.h"
#include "wire/codec.h"

#include <cstdint>
#include <filesystem>
#include <span>
#include <system_error>
#include <vector>

/**
 * The journal of one consensus group: batches of records, each with length and checksum.
 * One batch is one sync, so only the last batch can be torn; a bad batch before a good one
 * is corruption and is refused.
 */
namespace rosemaryturn::storage
{
/** What was found in a journal. */
struct JournalContent
{
    std::vector<wire::JournalRecordT> records; ///< All whole records, in order.
    std::uint64_t validBytes = 0; ///< Where the torn tail starts, if there is one.
    std::uint64_t tornBytes = 0; ///< Length of the torn tail, which was never acknowledged.
};

/** Encodes a batch. @param records the records. @return length, checksum and body. */
wire::Bytes encodeBatch(std::span<const wire::JournalRecordT> records);

/** Reads a journal's bytes. @param bytes the file. @param error StorageError::Corrupt or UnknownFormat. @return what was found. */
JournalContent parseJournal(std::span<const std::uint8_t> bytes, std::error_code &error);

/** An open journal file. */
class Journal
{
public:
    /**
     * Opens or creates a journal and cuts a torn tail.
     * @param path the file.
     * @param content receives what it holds.
     * @return an error, or none.
     */
    std::error_code open(const std::filesystem::path &path, JournalContent &content);

    /** Appends and syncs a batch. @param records the records. @return an error, or none; after an error the journal must not be used again. */
    std::error_code append(std::span<const wire::JournalRecordT> records);

    /** Replaces the whole journal in one step. @param records what it holds from now on. @return an error, or none. */
    std::error_code replace(std::span<const wire::JournalRecordT> records);

    /** @return the bytes in the file. */
    std::uint64_t size() const;

private:
    std::filesystem::path m_path;
    File m_file;
};
}
