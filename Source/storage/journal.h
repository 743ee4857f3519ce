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
 * Each batch is synced before the next is written, so only the last one can be torn; an invalid batch
 * before a valid one is corruption and is refused.
 */
namespace rosemaryturn::storage
{
/** The content of a journal file. */
struct JournalContent
{
    std::vector<wire::JournalRecordT> records; ///< Records of all valid batches, in order.
    std::uint64_t validBytes = 0; ///< Offset of the torn tail, if there is one.
    std::uint64_t tornBytes = 0; ///< Length of the torn tail, whose records were never acknowledged.
};

/** Encodes a batch. @param records the records. @return length, checksum and body. */
wire::Bytes encodeBatch(std::span<const wire::JournalRecordT> records);

/** Parses the bytes of a journal file. @param bytes the file. @param error StorageError::Corrupt or UnknownFormat. @return the content. */
JournalContent parseJournal(std::span<const std::uint8_t> bytes, std::error_code &error);

/** An open journal file. */
class Journal
{
public:
    /**
     * Opens or creates a journal and removes a torn tail.
     * @param path the file.
     * @param content receives the content.
     * @return an error, or none.
     */
    std::error_code open(const std::filesystem::path &path, JournalContent &content);

    /** Appends and syncs a batch. @param records the records. @return an error, or none; after an error the journal must not be used again. */
    std::error_code append(std::span<const wire::JournalRecordT> records);

    /** Replaces the whole journal atomically. @param records the new records. @return an error, or none. */
    std::error_code replace(std::span<const wire::JournalRecordT> records);

    /** @return the size of the file in bytes. */
    std::uint64_t size() const;

private:
    std::filesystem::path m_path;
    File m_file;
};
}
