#include "storage/file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <utility>

namespace rosemaryturn::storage
{
namespace
{
constexpr int fileMode = 0640;

std::error_code lastError()
{
    return {errno, std::generic_category()};
}
}

File::~File()
{
    close();
}

File::File(File &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_size(other.m_size)
{
}

File &File::operator=(File &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_size = other.m_size;
    }
    return *this;
}

void File::close()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

std::error_code File::open(const std::filesystem::path &path, bool truncate)
{
    close();
    const int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (truncate ? O_TRUNC : 0);
    m_descriptor = ::open(path.c_str(), flags, fileMode);
    if (m_descriptor < 0) {
        return lastError();
    }
    struct stat status
    {
    };
    if (fstat(m_descriptor, &status) != 0) {
        return lastError();
    }
    m_size = static_cast<std::uint64_t>(status.st_size);
    return {};
}

std::error_code File::append(std::span<const std::uint8_t> bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(m_descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return lastError();
        }
        m_size += static_cast<std::uint64_t>(written);
        bytes = bytes.subspan(static_cast<std::size_t>(written));
    }
    return {};
}

std::error_code File::sync()
{
    return fdatasync(m_descriptor) == 0 ? std::error_code{} : lastError();
}

std::uint64_t File::size() const
{
    return m_size;
}

std::vector<std::uint8_t> readFile(const std::filesystem::path &path, std::error_code &error)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        error = std::make_error_code(std::errc::no_such_file_or_directory);
        return {};
    }
    const std::uintmax_t size = std::filesystem::file_size(path, error);
    if (error) {
        return {};
    }
    std::vector<std::uint8_t> bytes(size);
    stream.read(reinterpret_cast<char *>(bytes.data()), static_cast<std::streamsize>(size));
    bytes.resize(static_cast<std::size_t>(std::max<std::streamsize>(stream.gcount(), 0)));
    return bytes;
}

std::error_code syncFolder(const std::filesystem::path &path)
{
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return lastError();
    }
    const std::error_code error = fsync(descriptor) == 0 ? std::error_code{} : lastError();
    ::close(descriptor);
    return error;
}

std::error_code replaceFile(const std::filesystem::path &path, std::span<const std::uint8_t> bytes)
{
    const std::filesystem::path temporary = path.string() + ".new";
    File file;
    if (const std::error_code error = file.open(temporary, true)) {
        return error;
    }
    if (const std::error_code error = file.append(bytes)) {
        return error;
    }
    if (const std::error_code error = file.sync()) {
        return error;
    }
    std::error_code error;
    std::filesystem::rename(temporary, path, error);
    if (error) {
        return error;
    }
    return syncFolder(path.parent_path());
}
}
