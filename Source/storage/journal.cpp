#include "storage/journal.h"

#include "storage/storageerror.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace rosemaryturn::storage
{
namespace
{
constexpr std::array<std::uint8_t, 8> fileMagic{'R', 'T', 'J', 'R', 'N', 'L', '0', '1'};
constexpr std::size_t lengthBytes = 8;
constexpr std::size_t checksumBytes = 8;
constexpr std::size_t headerBytes = lengthBytes + checksumBytes;
constexpr unsigned bitsPerByte = 8;

void appendUint64(wire::Bytes &bytes, std::uint64_t value)
{
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        bytes.push_back(static_cast<std::uint8_t>(value >> (bitsPerByte * i)));
    }
}

std::uint64_t readUint64(std::span<const std::uint8_t> bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        value |= static_cast<std::uint64_t>(bytes[i]) << (bitsPerByte * i);
    }
    return value;
}

/** The length is the seed of the hash, so that a damaged length is detected too. */
std::uint64_t batchChecksum(std::uint64_t length, std::span<const std::uint8_t> body)
{
    return XXH64(body.data(), body.size(), length);
}

/** @return the body of the valid batch at the start of the bytes; empty if there is none. */
std::span<const std::uint8_t> validBatchBody(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < headerBytes) {
        return {};
    }
    const std::uint64_t length = readUint64(bytes);
    if (length == 0 || length > bytes.size() - headerBytes) {
        return {};
    }
    const auto body = bytes.subspan(headerBytes, length);
    return batchChecksum(length, body) == readUint64(bytes.subspan(lengthBytes)) ? body : std::span<const std::uint8_t>{};
}

bool hasLaterValidBatch(std::span<const std::uint8_t> bytes)
{
    for (std::size_t offset = 1; offset + headerBytes < bytes.size(); ++offset) {
        if (!validBatchBody(bytes.subspan(offset)).empty()) {
            return true;
        }
    }
    return false;
}

bool decodeRecords(std::span<const std::uint8_t> body, std::vector<wire::JournalRecordT> &records)
{
    const wire::Bytes aligned(body.begin(), body.end());
    const auto batch = wire::decode<wire::JournalBatchT>(aligned);
    if (!batch) {
        return false;
    }
    for (const auto &record : batch->records) {
        records.push_back(std::move(*record));
    }
    return true;
}

/** @return about the number of bytes that a record is encoded to. */
std::size_t estimatedBytes(const wire::JournalRecordT &record)
{
    constexpr std::size_t fixedBytes = 128;
    const wire::EntryT *entry = record.body.AsEntry();
    const wire::SnapshotImageT *snapshot = record.body.AsSnapshotImage();
    return fixedBytes + (entry == nullptr ? 0 : entry->payload.size()) + (snapshot == nullptr ? 0 : snapshot->image.size());
}

/** Appends a batch. A snapshot takes a large part of the memory of a host, so that no further copies are made. */
void appendBatch(wire::Bytes &bytes, std::span<const wire::JournalRecordT> records)
{
    std::size_t expectedBytes = 0;
    for (const wire::JournalRecordT &record : records) {
        expectedBytes += estimatedBytes(record);
    }
    flatbuffers::FlatBufferBuilder builder(expectedBytes);
    std::vector<flatbuffers::Offset<wire::JournalRecord>> offsets;
    for (const wire::JournalRecordT &record : records) {
        offsets.push_back(wire::JournalRecord::Pack(builder, &record));
    }
    builder.Finish(wire::CreateJournalBatch(builder, builder.CreateVector(offsets)));
    const std::span<const std::uint8_t> body(builder.GetBufferPointer(), builder.GetSize());
    bytes.reserve(bytes.size() + headerBytes + body.size());
    appendUint64(bytes, body.size());
    appendUint64(bytes, batchChecksum(body.size(), body));
    bytes.insert(bytes.end(), body.begin(), body.end());
}

wire::Bytes encodeJournal(std::span<const wire::JournalRecordT> records)
{
    wire::Bytes bytes(fileMagic.begin(), fileMagic.end());
    if (!records.empty()) {
        appendBatch(bytes, records);
    }
    return bytes;
}
}

wire::Bytes encodeBatch(std::span<const wire::JournalRecordT> records)
{
    wire::Bytes bytes;
    appendBatch(bytes, records);
    return bytes;
}

JournalContent parseJournal(std::span<const std::uint8_t> bytes, std::error_code &error)
{
    JournalContent content;
    if (bytes.size() < fileMagic.size()) {
        content.tornBytes = bytes.size();
        return content;
    }
    if (!std::equal(fileMagic.begin(), fileMagic.end(), bytes.begin())) {
        error = StorageError::UnknownFormat;
        return content;
    }
    std::size_t offset = fileMagic.size();
    while (offset < bytes.size()) {
        const auto rest = bytes.subspan(offset);
        const auto body = validBatchBody(rest);
        if (body.empty()) {
            if (hasLaterValidBatch(rest)) {
                error = StorageError::Corrupt;
            }
            break;
        }
        if (!decodeRecords(body, content.records)) {
            error = StorageError::Corrupt;
            break;
        }
        offset += headerBytes + body.size();
    }
    content.validBytes = offset;
    content.tornBytes = bytes.size() - offset;
    return content;
}

std::error_code Journal::open(const std::filesystem::path &path, JournalContent &content)
{
    m_path = path;
    std::error_code error;
    if (!std::filesystem::exists(path)) {
        if ((error = replaceFile(path, encodeJournal({})))) {
            return error;
        }
    }
    const auto bytes = readFile(path, error);
    if (error) {
        return error;
    }
    content = parseJournal(bytes, error);
    if (error) {
        return error;
    }
    if (content.validBytes == 0) {
        if ((error = replaceFile(path, encodeJournal({})))) {
            return error;
        }
    } else if (content.tornBytes > 0) {
        std::filesystem::resize_file(path, content.validBytes, error);
        if (error) {
            return error;
        }
    }
    if ((error = m_file.open(path, false)) || (error = m_file.sync())) {
        return error;
    }
    // A process that was killed may have renamed the file, or written the identity, without a sync of the folder.
    return syncFolder(path.parent_path());
}

std::error_code Journal::append(std::span<const wire::JournalRecordT> records)
{
    if (const std::error_code error = m_file.append(encodeBatch(records))) {
        return error;
    }
    return m_file.sync();
}

std::error_code Journal::replace(std::span<const wire::JournalRecordT> records)
{
    if (const std::error_code error = replaceFile(m_path, encodeJournal(records))) {
        return error;
    }
    return m_file.open(m_path, false);
}

std::uint64_t Journal::size() const
{
    return m_file.size();
}
}
