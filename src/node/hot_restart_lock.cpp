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

constexpr off_t kMostProcesses = 16;      // of one sidecar at a time: bytes of the file
constexpr std::size_t kMostReplaced = 4;  // descriptors for files that were replaced while held
// After a failure, from the first look that has the lock on: what failed here failed the other processes too,
// and each of them may be at its next look as late as one interval between looks and 150 ms of being held up.
// At 50 ms between looks: (50 + 150) / 50.
constexpr int kSettlingLooks = 4;
constexpr int kMostInterruptions = 4;  // of one call at one look; then it counts as failed
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

// The name on disk is what tells processes of all versions apart: it stays as it is.
HotRestartLock::HotRestartLock(const std::string& folder, const std::string& name, LockCalls& calls)
    : path_(folder + "/whinledge-" + name + ".lives"), calls_(calls) {}

HotRestartLock::~HotRestartLock() {
    if (held_.file >= 0) ::close(held_.file);
    for (const Held& old : replaced_) ::close(old.file);
}

std::string HotRestartLock::temporary_folder() {
    for (const char* variable : {"TMPDIR", "TMP", "TEMP", "TEMPDIR"})
        if (const char* folder = ::secure_getenv(variable); folder && *folder) return folder;
    return "/tmp";
}

std::string HotRestartLock::error() const { return std::generic_category().message(error_); }

OtherProcess HotRestartLock::other_lives() {
    others_in_replaced();  // makes room for one more
    const bool seen_by_others = holds_file_at_path() || (take() && holds_file_at_path());
    const OtherProcess before = others_in_replaced();
    const OtherProcess now = others_in(held_.file);
    const bool settled = settle(seen_by_others);
    if (now == OtherProcess::shared || before == OtherProcess::shared) return OtherProcess::shared;
    const bool known = settled && now == OtherProcess::alone && before == OtherProcess::alone;
    return known ? OtherProcess::alone : OtherProcess::unknown;
}

// Whether another process that failed for the same reason must have its lock by now.
bool HotRestartLock::settle(bool seen_by_others) {
    if (!seen_by_others)
        settling_ = kSettlingLooks;
    else if (settling_ > 0)
        --settling_;
    else
        return true;
    return false;
}

// Closes those in which nobody else is left.
OtherProcess HotRestartLock::others_in_replaced() {
    OtherProcess found = OtherProcess::alone;
    std::erase_if(replaced_, [&](const Held& old) {
        const OtherProcess there = others_in(old.file);
        if (there == OtherProcess::alone) return ::close(old.file), true;
        if (found != OtherProcess::shared) found = there;
        return false;
    });
    return found;
}

bool HotRestartLock::holds_file_at_path() {
    struct stat status {};
    if (net::uninterrupted(kMostInterruptions, [&] { return calls_.status(path_.c_str(), status); }) != 0)
        return failed(errno);
    return held_.is(status) || failed(ESTALE);
}

// Opens the file at the path and locks a byte of it. What was held before stays open beside it.
bool HotRestartLock::take() {
    const int flags = O_RDWR | O_CREAT | O_CLOEXEC | O_NOCTTY;
    const int file =
        net::uninterrupted(kMostInterruptions, [&] { return calls_.open(path_.c_str(), flags, kOwnerOnly); });
    if (file < 0) return failed(errno);
    struct stat status {};
    if (calls_.status(file, status) != 0) {
        failed(errno);
    } else if (reuse(file, status)) {
        return true;
    } else if (replaced_.size() >= kMostReplaced) {
        failed(EMFILE);
    } else if (lock_a_byte(file)) {
        if (held_.file >= 0) replaced_.push_back(held_);
        held_ = {file, status.st_dev, status.st_ino};
        return true;
    }
    ::close(file);
    return false;
}

// A file that is held already is not locked twice: a second lock would be taken for another process.
bool HotRestartLock::reuse(int file, const struct stat& status) {
    const auto old =
        std::find_if(replaced_.begin(), replaced_.end(), [&](const Held& held) { return held.is(status); });
    if (!held_.is(status) && old == replaced_.end()) return false;
    if (old != replaced_.end()) std::swap(*old, held_);
    ::close(file);
    return true;
}

bool HotRestartLock::lock_a_byte(int file) {
    for (off_t byte = 0; byte < kMostProcesses; ++byte) {
        struct flock range = range_of(byte, 1);
        if (net::uninterrupted(kMostInterruptions, [&] { return calls_.lock(file, F_OFD_SETLK, range); }) ==
            0)
            return true;
        if (errno != EAGAIN && errno != EACCES) break;  // not another process's byte: a fault
    }
    return failed(errno);
}

OtherProcess HotRestartLock::others_in(int file) {
    if (file < 0) return OtherProcess::unknown;
    struct flock range = range_of(0, kMostProcesses);
    if (net::uninterrupted(kMostInterruptions, [&] { return calls_.lock(file, F_OFD_GETLK, range); }) != 0) {
        failed(errno);
        return OtherProcess::unknown;
    }
    return range.l_type == F_UNLCK ? OtherProcess::alone : OtherProcess::shared;
}

bool HotRestartLock::failed(int error) {
    error_ = error;
    return false;
}

}  // namespace mothring::node
