#pragma once

#include "wire/generated/protocol_generated.h"

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace rosemaryturn::wire
{
/** Bytes that a message or record is encoded to. */
using Bytes = std::vector<std::uint8_t>;

/**
 * Encodes a message.
 * @tparam Native the object form of a table, such as RecordT.
 * @param message the message.
 * @return its FlatBuffers bytes, without a length prefix.
 */
template<typename Native>
Bytes encode(const Native &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Native::TableType::Pack(builder, &message));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

/**
 * Verifies a message without decoding it.
 * @tparam Table the expected table.
 * @param bytes the encoded message.
 * @return the table within the bytes, or null when they do not match the schema.
 */
template<typename Table>
const Table *verifiedRoot(std::span<const std::uint8_t> bytes)
{
    // Each table is reached through an offset of its own, so that the size bounds their number. The default bound of the library is a constant, which a
    // large message of our own exceeds.
    flatbuffers::Verifier::Options options;
    options.max_tables = static_cast<flatbuffers::uoffset_t>(bytes.size() / sizeof(flatbuffers::uoffset_t));
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), options);
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes.data()) : nullptr;
}

/**
 * Decodes and verifies a message.
 * @tparam Native the object form of the expected table.
 * @param bytes the encoded message.
 * @return the message, or null when the bytes do not match the schema.
 */
template<typename Native>
std::unique_ptr<Native> decode(std::span<const std::uint8_t> bytes)
{
    using Table = typename Native::TableType;
    const Table *table = verifiedRoot<Table>(bytes);
    return std::unique_ptr<Native>(table == nullptr ? nullptr : table->UnPack());
}

/**
 * Encodes one change of the cell or configuration log.
 * @param change the object form of one member of the Change union.
 * @return the bytes of a Record.
 */
template<typename NativeChange>
Bytes encodeChange(NativeChange change)
{
    RecordT record;
    record.change.Set(std::move(change));
    return encode(record);
}
}
