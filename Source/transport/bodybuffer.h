#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace rosemaryturn::transport
{
/** Contiguous body of a request. Long bodies have a mapping of their own, so that they grow without a copy and return their memory at once. */
class BodyBuffer
{
public:
    BodyBuffer() = default;
    ~BodyBuffer();
    BodyBuffer(const BodyBuffer &) = delete;
    BodyBuffer &operator=(const BodyBuffer &) = delete;

    /** Appends bytes. @param bytes the bytes. @param expected size of the whole body if known; 0 if not. @return false if there is no memory. */
    bool append(std::string_view bytes, std::uint64_t expected);
    /** Frees the memory. */
    void clear();
    /** @return the bytes. */
    std::string_view view() const;

private:
    bool reserve(std::size_t size, std::uint64_t expected);
    bool remap(std::size_t capacity);

    std::unique_ptr<char[]> m_small;
    char *m_mapping = nullptr;
    std::size_t m_size = 0;
    std::size_t m_capacity = 0;
};
}
