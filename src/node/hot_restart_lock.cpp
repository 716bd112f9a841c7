#include "node/hot_restart_lock.hpp"

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <system_error>
#include <utility>

#include "net/interrupted_calls.hpp"

namespace mothring::node {

namespace {

/// The number of lockable bytes in the file, and so of concurrent processes of one sidecar.
constexpr off_t kMaxProcesses = 16;
constexpr std::size_t kMaxReplacedFiles = 4;
/// The number of successful checks after a failure before `alone` may be returned. They take long enough for
/// any other process that failed for the same reason to check again: its next check follows after at most the
/// check interval of 50 ms and a stall of 150 ms.
constexpr int kSettlingChecks = 4;
/// How often a system call that signals interrupt is made at most.
constexpr int kMaxCallAttempts = 4;
constexpr mode_t kOwnerOnly = 0600;

struct flock range_of(off_t start, off_t length) {
    struct flock range {};
    range.l_type = F_WRLCK;
    range.l_whence = SEEK_SET;
    range.l_start = start;
    range.l_len = length;
    return range;
}

}  // namespace

int LockCalls::open(const char* path, int flags, mode_t mode) { return ::open(path, flags, mode); }
int LockCalls::lock(int file, int command, struct flock& range) { return ::fcntl(file, command, &range); }
int LockCalls::status(const char* path, struct stat& into) { return ::stat(path, &into); }
int LockCalls::status(int file, struct stat& into) { return ::fstat(file, &into); }

LockCalls& LockCalls::system() {
    static LockCalls calls;
    return calls;
}

// The file name must not change: processes of all versions detect each other by it.
HotRestartLock::HotRestartLock(const std::string& folder, const std::string& name, LockCalls& calls)
    : path_(folder + "/whinledge-" + name + ".lives"), calls_(calls) {}

HotRestartLock::~HotRestartLock() {
    if (current_.is_open()) ::close(current_.file);
    for (const LockedFile& old : replaced_) ::close(old.file);
}

std::string HotRestartLock::temporary_folder() {
    for (const char* variable : {"TMPDIR", "TMP", "TEMP", "TEMPDIR"})
        if (const char* folder = ::secure_getenv(variable); folder && *folder) return folder;
    return "/tmp";
}

std::string HotRestartLock::error() const { return std::generic_category().message(error_); }

OtherProcess HotRestartLock::check() {
    find_other_process_in_replaced();  // closes files no longer needed, so that another can be kept
    const bool seen_by_others = holds_file_at_path() || (lock_file_at_path() && holds_file_at_path());
    const OtherProcess in_replaced = find_other_process_in_replaced();
    const OtherProcess in_current = find_other_process(current_.file);
    const bool settled = count_settling(seen_by_others);
    if (in_current == OtherProcess::shared || in_replaced == OtherProcess::shared)
        return OtherProcess::shared;
    const bool is_alone = settled && in_current == OtherProcess::alone && in_replaced == OtherProcess::alone;
    return is_alone ? OtherProcess::alone : OtherProcess::unknown;
}

/// Counts this check, and returns whether any other process that failed for the same reason must hold its
/// lock by now.
bool HotRestartLock::count_settling(bool seen_by_others) {
    if (seen_by_others && settling_checks_ == 0) return true;
    if (seen_by_others)
        --settling_checks_;
    else
        settling_checks_ = kSettlingChecks;
    return false;
}

/// Checks the replaced files, and closes those in which no other process holds a lock any more.
OtherProcess HotRestartLock::find_other_process_in_replaced() {
    OtherProcess found = OtherProcess::alone;
    std::erase_if(replaced_, [&](const LockedFile& old) {
        const OtherProcess in_file = find_other_process(old.file);
        if (in_file == OtherProcess::alone) {
            ::close(old.file);
            return true;
        }
        if (found != OtherProcess::shared) found = in_file;
        return false;
    });
    return found;
}

bool HotRestartLock::holds_file_at_path() {
    struct stat status {};
    if (net::retry_on_eintr(kMaxCallAttempts, [&] { return calls_.status(path_.c_str(), status); }) != 0)
        return record_error(errno);
    return current_.is_same_file(status) || record_error(ESTALE);
}

/// Opens the file at the path and locks a byte of it. The file that was locked before stays open and locked.
bool HotRestartLock::lock_file_at_path() {
    const int flags = O_RDWR | O_CREAT | O_CLOEXEC | O_NOCTTY;
    const int file =
        net::retry_on_eintr(kMaxCallAttempts, [&] { return calls_.open(path_.c_str(), flags, kOwnerOnly); });
    if (file < 0) return record_error(errno);
    struct stat status {};
    if (calls_.status(file, status) != 0) {
        record_error(errno);
    } else if (reuse_if_locked(file, status)) {
        return true;
    } else if (replaced_.size() >= kMaxReplacedFiles) {
        record_error(EMFILE);
    } else if (lock_free_byte(file)) {
        if (current_.is_open()) replaced_.push_back(current_);
        current_ = {file, status.st_dev, status.st_ino};
        return true;
    }
    ::close(file);
    return false;
}

/// Prevents a second lock in a file that is locked already: it would be taken for that of another process.
bool HotRestartLock::reuse_if_locked(int file, const struct stat& status) {
    const auto old = std::find_if(replaced_.begin(), replaced_.end(),
                                  [&](const LockedFile& locked) { return locked.is_same_file(status); });
    if (!current_.is_same_file(status) && old == replaced_.end()) return false;
    if (old != replaced_.end()) std::swap(*old, current_);
    ::close(file);
    return true;
}

bool HotRestartLock::lock_free_byte(int file) {
    for (off_t byte = 0; byte < kMaxProcesses; ++byte) {
        struct flock range = range_of(byte, 1);
        if (net::retry_on_eintr(kMaxCallAttempts, [&] { return calls_.lock(file, F_OFD_SETLK, range); }) == 0)
            return true;
        if (errno != EAGAIN && errno != EACCES) break;  // another error than a byte locked by another process
    }
    return record_error(errno);
}

OtherProcess HotRestartLock::find_other_process(int file) {
    if (file < 0) return OtherProcess::unknown;
    struct flock range = range_of(0, kMaxProcesses);
    if (net::retry_on_eintr(kMaxCallAttempts, [&] { return calls_.lock(file, F_OFD_GETLK, range); }) != 0) {
        record_error(errno);
        return OtherProcess::unknown;
    }
    return range.l_type == F_UNLCK ? OtherProcess::alone : OtherProcess::shared;
}

bool HotRestartLock::record_error(int error) {
    error_ = error;
    return false;
}

}  // namespace mothring::node
