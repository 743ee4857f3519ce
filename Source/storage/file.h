#pragma once

#include <cstdint>
#include <filesystem>
#include <span>
#include <system_error>
#include <vector>

namespace rosemaryturn::storage
{
/** A file opened for appending; the destructor closes it. */
class File
{
public:
    File() = default;
    ~File();
    File(File &&other) noexcept;
    File &operator=(File &&other) noexcept;
    File(const File &) = delete;
    File &operator=(const File &) = delete;

    /** Opens for appending. @param path the file. @param truncate whether to empty it first. @return an error, or none. */
    std::error_code open(const std::filesystem::path &path, bool truncate);
    /** Appends all bytes. @param bytes the bytes. @return an error, or none. */
    std::error_code append(std::span<const std::uint8_t> bytes);
    /** Flushes all appended bytes to disk. @return an error, or none. */
    std::error_code sync();
    /** @return the size of the file in bytes. */
    std::uint64_t size() const;

private:
    void close();

    int m_descriptor = -1;
    std::uint64_t m_size = 0;
};

/** Reads a whole file. @param path the file. @param error set on failure. @return its bytes. */
std::vector<std::uint8_t> readFile(const std::filesystem::path &path, std::error_code &error);

/** Syncs a folder, so that a rename in it is durable. @param path the folder. @return an error, or none. */
std::error_code syncFolder(const std::filesystem::path &path);

/** Replaces a file atomically, also if the host crashes. @param path the file. @param bytes the new content. @return an error, or none. */
std::error_code replaceFile(const std::filesystem::path &path, std::span<const std::uint8_t> bytes);
}
