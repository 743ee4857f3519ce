#include "transport/bodybuffer.h"

#include <sys/mman.h>

#include <algorithm>
#include <cstring>
#include <new>

namespace rosemaryturn::transport
{
namespace
{
/** Longest body that stays on the heap; the system calls and page faults of a mapping cost more than copies of a shorter one. */
constexpr std::size_t maxHeapBytes = std::size_t{64} * 1024;
constexpr std::size_t minHeapBytes = 512;
}

BodyBuffer::~BodyBuffer()
{
    clear();
}

bool BodyBuffer::append(std::string_view bytes, std::uint64_t expected)
{
    if (bytes.empty()) {
        return true;
    }
    if (m_size + bytes.size() > m_capacity && !reserve(m_size + bytes.size(), expected)) {
        return false;
    }
    std::memcpy((m_mapping != nullptr ? m_mapping : m_small.get()) + m_size, bytes.data(), bytes.size());
    m_size += bytes.size();
    return true;
}

void BodyBuffer::clear()
{
    if (m_mapping != nullptr) {
        ::munmap(m_mapping, m_capacity);
        m_mapping = nullptr;
    }
    m_small.reset();
    m_size = 0;
    m_capacity = 0;
}

std::string_view BodyBuffer::view() const
{
    return {m_mapping != nullptr ? m_mapping : m_small.get(), m_size};
}

bool BodyBuffer::reserve(std::size_t size, std::uint64_t expected)
{
    const std::size_t wanted = std::max<std::size_t>({size, expected, m_capacity * 2, minHeapBytes});
    if (wanted > maxHeapBytes) {
        return remap(wanted);
    }
    std::unique_ptr<char[]> larger(new (std::nothrow) char[wanted]);
    if (!larger) {
        return false;
    }
    if (m_size > 0) {
        std::memcpy(larger.get(), m_small.get(), m_size);
    }
    m_small = std::move(larger);
    m_capacity = wanted;
    return true;
}

bool BodyBuffer::remap(std::size_t capacity)
{
    // Pages of a mapping take memory only once they are written.
    void *memory = m_mapping != nullptr ? ::mremap(m_mapping, m_capacity, capacity, MREMAP_MAYMOVE)
                                        : ::mmap(nullptr, capacity, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (memory == MAP_FAILED) {
        return false;
    }
    if (m_mapping == nullptr && m_size > 0) {
        std::memcpy(memory, m_small.get(), m_size);
    }
    m_small.reset();
    m_mapping = static_cast<char *>(memory);
    m_capacity = capacity;
    return true;
}
}
