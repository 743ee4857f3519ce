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
 * Decodes and verifies a message.
 * @tparam Native the object form of the expected table.
 * @param bytes the encoded message.
 * @return the message, or null when the bytes do not match the schema.
 */
template<typename Native>
std::unique_ptr<Native> decode(std::span<const std::uint8_t> bytes)
{
    using Table = typename Native::TableType;
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return nullptr;
    }
    return std::unique_ptr<Native>(flatbuffers::GetRoot<Table>(bytes.data())->UnPack());
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
