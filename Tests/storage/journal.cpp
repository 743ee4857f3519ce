#include "storage/journal.h"
#include "storage/identity.h"
#include "storage/journalthread.h"
#include "storage/storageerror.h"
#include "testing.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <map>

namespace
{
using namespace rosemaryturn;

/** A temporary folder that the destructor removes. */
struct TemporaryFolder
{
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "rosemaryturn-test-XXXXXX").string();
        path = mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        std::filesystem::remove_all(path);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder(TemporaryFolder &&) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(TemporaryFolder &&) = delete;
    std::filesystem::path path;
};

std::vector<wire::JournalRecordT> batchOf(std::uint64_t term, std::size_t payload)
{
    wire::HardStateT state;
    state.term = term;
    state.votedFor = std::string(payload, 'x');
    std::vector<wire::JournalRecordT> records(1);
    records[0].body.Set(std::move(state));
    return records;
}

void writeBytes(const std::filesystem::path &path, const wire::Bytes &bytes)
{
    std::ofstream stream(path, std::ios::binary);
    stream.write(reinterpret_cast<const char *>(bytes.data()), static_cast<std::streamsize>(bytes.size()));
}

wire::Bytes writeThreeBatches(const std::filesystem::path &path)
{
    storage::Journal journal;
    storage::JournalContent content;
    CHECK(!journal.open(path, content));
    for (std::uint64_t term = 1; term <= 3; ++term) {
        CHECK(!journal.append(batchOf(term, 20)));
    }
    std::error_code error;
    return storage::readFile(path, error);
}
}

TEST_CASE(Journal, ReadsBackAppendedRecords)
{
    const TemporaryFolder folder;
    writeThreeBatches(folder.path / "j");
    storage::Journal journal;
    storage::JournalContent content;
    CHECK(!journal.open(folder.path / "j", content));
    CHECK_EQUAL(std::size_t{3}, content.records.size());
    CHECK_EQUAL(std::uint64_t{3}, content.records[2].body.AsHardState()->term);
    CHECK_EQUAL(std::uint64_t{0}, content.tornBytes);
}

TEST_CASE(Journal, TruncatesATornTailAtEveryByte)
{
    const TemporaryFolder folder;
    const wire::Bytes intact = writeThreeBatches(folder.path / "j");
    for (std::size_t length = 0; length < intact.size(); ++length) {
        writeBytes(folder.path / "torn", {intact.begin(), intact.begin() + static_cast<std::ptrdiff_t>(length)});
        storage::Journal journal;
        storage::JournalContent content;
        CHECK(!journal.open(folder.path / "torn", content));
        CHECK(content.records.size() < 3);
        CHECK(!journal.append(batchOf(9, 1)));
        storage::Journal again;
        storage::JournalContent second;
        CHECK(!again.open(folder.path / "torn", second));
        CHECK_EQUAL(content.records.size() + 1, second.records.size());
    }
}

/** After a loss of power any part of the unsynced last batch may be missing, also one before a part that is present. */
TEST_CASE(Journal, TruncatesALastBatchWithAnyPartMissing)
{
    const TemporaryFolder folder;
    const wire::Bytes intact = writeThreeBatches(folder.path / "j");
    constexpr std::size_t magicBytes = 8;
    const std::size_t lastBatch = magicBytes + (intact.size() - magicBytes) / 3 * 2;
    for (std::size_t first = lastBatch; first < intact.size(); first += 3) {
        for (std::size_t end = first + 1; end <= intact.size(); end += 3) {
            wire::Bytes torn = intact;
            std::fill(torn.begin() + static_cast<std::ptrdiff_t>(first), torn.begin() + static_cast<std::ptrdiff_t>(end), std::uint8_t{0});
            std::error_code error;
            const storage::JournalContent content = storage::parseJournal(torn, error);
            CHECK(!error);
            CHECK(torn == intact || content.records.size() == 2);
        }
    }
}

TEST_CASE(Journal, RefusesDamageBeforeAValidBatch)
{
    const TemporaryFolder folder;
    const wire::Bytes intact = writeThreeBatches(folder.path / "j");
    const std::size_t magicBytes = 8;
    const std::size_t batch = (intact.size() - magicBytes) / 3;
    for (std::size_t at = magicBytes; at < magicBytes + 2 * batch; ++at) {
        wire::Bytes damaged = intact;
        damaged[at] ^= 0x55;
        std::error_code error;
        storage::parseJournal(damaged, error);
        CHECK(error == storage::StorageError::Corrupt);
    }
}

TEST_CASE(Journal, RefusesAnotherFormat)
{
    std::error_code error;
    const wire::Bytes bytes(64, 'z');
    storage::parseJournal(bytes, error);
    CHECK(error == storage::StorageError::UnknownFormat);
}

TEST_CASE(Journal, ReplacesItsContentInOneStep)
{
    const TemporaryFolder folder;
    writeThreeBatches(folder.path / "j");
    storage::Journal journal;
    storage::JournalContent content;
    CHECK(!journal.open(folder.path / "j", content));
    CHECK(!journal.replace(batchOf(7, 5)));
    CHECK(!journal.append(batchOf(8, 5)));
    storage::Journal again;
    storage::JournalContent after;
    CHECK(!again.open(folder.path / "j", after));
    CHECK_EQUAL(std::size_t{2}, after.records.size());
    CHECK_EQUAL(std::uint64_t{7}, after.records[0].body.AsHardState()->term);
}

TEST_CASE(Journal, IgnoresTheFileOfAnInterruptedReplace)
{
    const TemporaryFolder folder;
    writeThreeBatches(folder.path / "j");
    writeBytes(folder.path / "j.new", {1, 2, 3});
    storage::Journal journal;
    storage::JournalContent content;
    CHECK(!journal.open(folder.path / "j", content));
    CHECK_EQUAL(std::size_t{3}, content.records.size());
}

namespace
{
/** Lets writes beyond a file size fail, as on a full disk, until the destructor runs. */
struct FileSizeLimit
{
    explicit FileSizeLimit(std::uint64_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        CHECK_EQUAL(0, getrlimit(RLIMIT_FSIZE, &before));
        rlimit limited = before;
        limited.rlim_cur = bytes;
        CHECK_EQUAL(0, setrlimit(RLIMIT_FSIZE, &limited));
    }
    ~FileSizeLimit()
    {
        setrlimit(RLIMIT_FSIZE, &before);
    }
    FileSizeLimit(const FileSizeLimit &) = delete;
    FileSizeLimit(FileSizeLimit &&) = delete;
    FileSizeLimit &operator=(const FileSizeLimit &) = delete;
    FileSizeLimit &operator=(FileSizeLimit &&) = delete;
    rlimit before{};
};

consensus::PersistRequest requestOf(std::uint64_t term, bool withRecords)
{
    consensus::PersistRequest request;
    request.group = "g";
    if (withRecords) {
        request.records = batchOf(term, 20);
    }
    request.sendAfterSync.resize(1);
    request.sendAfterSync[0].term = term;
    request.index = term;
    request.term = term;
    return request;
}

/** What a journal thread reported. */
struct Reported
{
    std::vector<std::uint64_t> sent; ///< Terms of the messages.
    std::vector<std::uint64_t> persisted;
    std::size_t failures = 0;
};

/** Writes a batch, lets the next write fail after `partBytes`, and posts two more requests once the disk takes writes again. */
Reported writeAroundAFailure(const std::filesystem::path &path, std::uint64_t partBytes)
{
    Reported reported;
    std::promise<void> first;
    std::promise<void> failed;
    std::map<std::string, storage::Journal> journals;
    storage::JournalContent content;
    CHECK(!journals["g"].open(path, content));
    storage::JournalCallbacks callbacks;
    callbacks.send = [&reported](const wire::ConsensusMessageT &message) {
        reported.sent.push_back(message.term);
    };
    callbacks.persisted = [&](const std::string &, std::uint64_t index, std::uint64_t) {
        reported.persisted.push_back(index);
        if (index == 1) {
            first.set_value();
        }
    };
    callbacks.failed = [&](const std::string &, std::error_code) {
        if (++reported.failures == 1) {
            failed.set_value();
        }
    };
    storage::JournalThread thread(std::move(journals), callbacks);
    thread.post(requestOf(1, true));
    first.get_future().wait();
    {
        const FileSizeLimit full(std::filesystem::file_size(path) + partBytes);
        thread.post(requestOf(2, true));
        failed.get_future().wait();
    }
    thread.post(requestOf(3, true));
    thread.post(requestOf(4, false));
    thread.stop();
    return reported;
}
}

/**
 * The thread went on after a write that failed: a batch behind a torn one made the journal unreadable for good, one behind a batch that wasn't written at
 * all was skipped at the next start, and messages acknowledged records that were never synced.
 */
TEST_CASE(Journal, NothingIsWrittenOrSentAfterAFailedWrite)
{
    for (const std::uint64_t partBytes : {0U, 10U, 40U}) {
        const TemporaryFolder folder;
        const Reported reported = writeAroundAFailure(folder.path / "j", partBytes);
        CHECK(reported.sent == std::vector<std::uint64_t>{1});
        CHECK(reported.persisted == std::vector<std::uint64_t>{1});
        CHECK_EQUAL(std::size_t{1}, reported.failures);
        storage::Journal again;
        storage::JournalContent content;
        CHECK(!again.open(folder.path / "j", content));
        CHECK_EQUAL(std::size_t{1}, content.records.size());
        CHECK_EQUAL(partBytes, content.tornBytes);
    }
}

TEST_CASE(Identity, IsWrittenOnceAndReadBack)
{
    const TemporaryFolder folder;
    std::error_code error;
    storage::readIdentity(folder.path, error);
    CHECK(error == storage::StorageError::NotADataFolder);
    CHECK(!storage::writeIdentity(folder.path, {"c", "h", 42}));
    CHECK(storage::writeIdentity(folder.path, {"c", "h", 43}) == storage::StorageError::AlreadyInitialised);
    error.clear();
    CHECK_EQUAL(std::uint64_t{42}, storage::readIdentity(folder.path, error).incarnation);
    CHECK(!error);
}

TEST_CASE(Identity, RefusesADamagedFile)
{
    struct Row
    {
        const char *text;
    };
    for (const Row &row :
         {Row{""}, Row{"{"}, Row{"[]"}, Row{R"({"cluster":1,"host":"h","incarnation":1})"}, Row{R"({"cluster":"c","host":"h","incarnation":"x"})"}}) {
        const TemporaryFolder folder;
        writeBytes(folder.path / "identity.json", {row.text, row.text + std::string_view(row.text).size()});
        std::error_code error;
        storage::readIdentity(folder.path, error);
        CHECK(error == storage::StorageError::IdentityInvalid);
    }
}
