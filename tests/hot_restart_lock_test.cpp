/// @file
/// Tests of the detection of another process of the same sidecar, and of its results while the lock file
/// can't be used.
#include "node/hot_restart_lock.hpp"

#include <unistd.h>

#include <cerrno>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>

#include "net_rig.hpp"

namespace mothring::node::test {
namespace {

using enum OtherProcess;

/// Successful checks after a failure before `alone` is returned.
constexpr int kSettlingChecks = 4;

/// Makes the calls of the kernel, but fails with the errors that are queued for a call, each once and in
/// order.
struct FailingCalls : LockCalls {
    std::deque<int> open_errors, set_errors, get_errors, path_errors, file_errors;
    static bool fails(std::deque<int>& errors) {
        if (errors.empty()) return false;
        errno = errors.front();
        errors.pop_front();
        return errno != 0;
    }
    int open(const char* path, int flags, mode_t mode) override {
        return fails(open_errors) ? -1 : LockCalls::open(path, flags, mode);
    }
    int lock(int file, int command, struct flock& range) override {
        return fails(command == F_OFD_SETLK ? set_errors : get_errors)
                   ? -1
                   : LockCalls::lock(file, command, range);
    }
    int status(const char* path, struct stat& into) override {
        return fails(path_errors) ? -1 : LockCalls::status(path, into);
    }
    int status(int file, struct stat& into) override {
        return fails(file_errors) ? -1 : LockCalls::status(file, into);
    }
};

struct HotRestart : testing::Test {
    const std::string folder =
        (std::filesystem::temp_directory_path() / ("whinledge-lives-" + std::to_string(::getpid()))).string();
    const std::string file = folder + "/whinledge-n1.lives";
    FailingCalls calls;
    HotRestart() { std::filesystem::create_directories(folder); }
    ~HotRestart() override { std::filesystem::remove_all(folder); }

    /// Checks until the result is not `unknown`. Returns the number of checks before and the result.
    static std::pair<int, OtherProcess> check_until_known(HotRestartLock& lock) {
        for (int checks = 0; checks < 20; ++checks)
            if (const OtherProcess found = lock.check(); found != unknown) return {checks, found};
        return {20, unknown};
    }

    /// Stands for a process of an older version, which locks the first free byte of 16 when it starts and
    /// does not check the file at the path afterwards.
    struct OlderVersion {
        int file = -1;
        explicit OlderVersion(const std::string& path)
            : file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
            for (off_t byte = 0; byte < 16; ++byte)
                if (struct flock one = range(byte, 1); ::fcntl(file, F_OFD_SETLK, &one) == 0) return;
            ADD_FAILURE() << "no byte of the file could be locked";
        }
        ~OlderVersion() { ::close(file); }
        OlderVersion(const OlderVersion&) = delete;
        OlderVersion& operator=(const OlderVersion&) = delete;
        static struct flock range(off_t start, off_t length) {
            struct flock range {};
            range.l_type = F_WRLCK;
            range.l_whence = SEEK_SET;
            range.l_start = start;
            range.l_len = length;
            return range;
        }
        bool detects_another() const {
            struct flock all = range(0, 16);
            return ::fcntl(file, F_OFD_GETLK, &all) == 0 && all.l_type != F_UNLCK;
        }
    };
};

TEST_F(HotRestart, ProcessesOfOneSidecarDetectEachOtherWhileBothRun) {
    HotRestartLock one(folder, "n1"), other_sidecar(folder, "n2");
    EXPECT_EQ(one.check(), alone);
    auto two = std::make_unique<HotRestartLock>(folder, "n1");
    EXPECT_EQ(two->check(), shared);
    EXPECT_EQ(one.check(), shared);
    EXPECT_EQ(other_sidecar.check(), alone);
    two.reset();
    EXPECT_EQ(one.check(), alone);
    HotRestartLock without_folder(folder + "/none", "n1");
    EXPECT_EQ(without_folder.check(), unknown);
}

TEST_F(HotRestart, OlderVersionAndThisOneDetectEachOther) {
    {
        const OlderVersion before(file);
        HotRestartLock lock(folder, "n1");
        EXPECT_EQ(lock.check(), shared);
        EXPECT_TRUE(before.detects_another());
    }
    HotRestartLock lock(folder, "n1");
    EXPECT_EQ(lock.check(), alone);
    const OlderVersion after(file);
    EXPECT_EQ(lock.check(), shared);
    EXPECT_TRUE(after.detects_another());
}

TEST_F(HotRestart, RetriesAFailedLockAtEachCheck) {
    for (const int error : {ENOSPC, EIO, EROFS, EACCES, EMFILE}) {
        calls.open_errors = {error, error};
        HotRestartLock late(folder, "n1", calls);
        EXPECT_EQ(late.check(), unknown) << error;
        EXPECT_EQ(late.error(), std::generic_category().message(error));
        HotRestartLock other(folder, "n1");
        EXPECT_EQ(other.check(), alone) << error;
        EXPECT_EQ(late.check(), unknown) << error;
        EXPECT_EQ(late.check(), shared) << error;
        EXPECT_EQ(other.check(), shared) << error;
    }
    for (const int error : {ENOLCK, EIO, EDEADLK, EINVAL}) {
        calls.set_errors = {error, error};
        HotRestartLock late(folder, "n1", calls);
        EXPECT_EQ(check_until_known(late), std::pair(2 + kSettlingChecks, alone)) << error;
    }
    calls.file_errors = {EIO};
    HotRestartLock late(folder, "n1", calls);
    EXPECT_EQ(check_until_known(late), std::pair(1 + kSettlingChecks, alone));
}

TEST_F(HotRestart, ReportsUnknownIfReadingTheLocksFails) {
    HotRestartLock one(folder, "n1", calls), two(folder, "n1");
    two.check();
    EXPECT_EQ(one.check(), shared);
    for (const int error : {EIO, ENOLCK}) {
        calls.get_errors = {error};
        EXPECT_EQ(one.check(), unknown) << error;
        EXPECT_EQ(one.check(), shared) << error;
    }
}

TEST_F(HotRestart, RetriesInterruptedCallsALimitedNumberOfTimes) {
    calls.open_errors = calls.set_errors = calls.get_errors = calls.path_errors = {EINTR, EINTR};
    HotRestartLock one(folder, "n1", calls);
    EXPECT_EQ(one.check(), alone);
    calls.get_errors.assign(100, EINTR);
    EXPECT_EQ(one.check(), unknown);
    EXPECT_GE(calls.get_errors.size(), 90u);
}

// A failed status call on the path could make the process lock a second byte and detect itself as another
// process.
TEST_F(HotRestart, DoesNotLockTwiceIfCheckingThePathFails) {
    HotRestartLock one(folder, "n1", calls);
    EXPECT_EQ(one.check(), alone);
    calls.path_errors = {EIO, EIO};
    EXPECT_EQ(check_until_known(one), std::pair(1 + kSettlingChecks, alone));
}

TEST_F(HotRestart, UsesAFolderThatIsCreatedLater) {
    HotRestartLock one(folder + "/later", "n1"), two(folder + "/later", "n1");
    EXPECT_EQ(one.check(), unknown);
    EXPECT_EQ(two.check(), unknown);
    std::filesystem::create_directory(folder + "/later");
    EXPECT_EQ(one.check(), unknown) << "the other process has not checked again yet";
    EXPECT_EQ(two.check(), shared);
    EXPECT_EQ(one.check(), shared);
}

TEST_F(HotRestart, UsesAnExistingFileAndRecoversFromADirectoryAtThePath) {
    std::filesystem::create_directory(file);  // a directory: EISDIR
    HotRestartLock one(folder, "n1");
    EXPECT_EQ(one.check(), unknown);
    std::filesystem::remove(file);
    std::ofstream(file) << "left by somebody, half wri";
    EXPECT_EQ(check_until_known(one), std::pair(kSettlingChecks, alone));
    HotRestartLock two(folder, "n1");
    EXPECT_EQ(two.check(), shared);
    EXPECT_EQ(std::filesystem::file_size(file), 26u) << "nothing is written to it";
    std::filesystem::create_symlink(file, folder + "/whinledge-link.lives");
    HotRestartLock link(folder, "link");  // older versions follow symbolic links as well
    EXPECT_EQ(link.check(), shared);
}

TEST_F(HotRestart, LocksAgainAfterTheFileWasDeletedOrReplaced) {
    HotRestartLock one(folder, "n1");
    EXPECT_EQ(one.check(), alone);
    std::filesystem::remove(file);
    HotRestartLock two(folder, "n1");
    EXPECT_EQ(two.check(), alone) << "the first process has not checked again yet";
    EXPECT_EQ(one.check(), shared);
    EXPECT_EQ(two.check(), shared);
    std::ofstream(folder + "/other") << "";
    std::filesystem::rename(folder + "/other", file);
    EXPECT_EQ(two.check(), shared);
    EXPECT_EQ(one.check(), shared);
    HotRestartLock three(folder, "n1");
    EXPECT_EQ(three.check(), shared);
}

// An older version does not notice that its lock file is gone, so both processes must still detect each other
// in it.
TEST_F(HotRestart, DetectsAnOlderVersionInADeletedFile) {
    HotRestartLock lock(folder, "n1");
    EXPECT_EQ(lock.check(), alone);
    auto older = std::make_unique<OlderVersion>(file);
    std::filesystem::rename(file, folder + "/away");
    for (int check = 0; check < 3; ++check) {
        EXPECT_EQ(lock.check(), shared);
        EXPECT_TRUE(older->detects_another());
    }
    std::filesystem::rename(folder + "/away", file);  // the file is restored
    EXPECT_EQ(lock.check(), shared);
    EXPECT_TRUE(older->detects_another());
    older.reset();
    EXPECT_EQ(lock.check(), alone);
}

TEST_F(HotRestart, LimitsDescriptorsIfTheFileIsReplacedRepeatedly) {
    const auto descriptors = [] {
        return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
    };
    HotRestartLock lock(folder, "n1");
    lock.check();
    std::list<OlderVersion> older;
    const auto before = descriptors();
    for (int replaced = 0; replaced < 12; ++replaced) {
        older.emplace_back(file);
        std::filesystem::remove(file);
        EXPECT_EQ(lock.check(), shared);
    }
    EXPECT_LE(descriptors() - before, 12 + 4);
    older.clear();
    EXPECT_EQ(check_until_known(lock).second, alone);
    EXPECT_EQ(lock.check(), alone);
    EXPECT_EQ(descriptors(), before);
}

// Two processes that both use the full limits would together exceed them. The limits are restored once the
// other process has ended.
TEST_F(NetRig, HalvesLimitsWhileAnotherProcessRuns) {
    net::Tcp::endpoint listen = net::Tcp::acceptor(io, any_port).local_endpoint();
    config::Config config =
        config::read_config(config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}}), "40"));
    config.listen = listen;
    config.operators = any_port;
    sidecar.emplace(io, config);
    for (int i = 0; i < 8; ++i) client();
    for (auto& c : clients) c.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    const auto ended = [&] {
        return std::count_if(clients.begin(), clients.end(), [](const auto& c) { return c.ended; });
    };
    until([&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return !c.answers.empty(); });
    });
    EXPECT_LE(ended(), 1);  // the listener keeps one slot free
    std::optional<Sidecar> other(std::in_place, io, config);
    EXPECT_TRUE(other->limits_halved());
    until([&] { return sidecar->limits_halved() && ended() >= 4; });
    other.reset();
    until([&] { return !sidecar->limits_halved(); });
}

}  // namespace
}  // namespace mothring::node::test
