/// @file
/// Tells whether another process of this sidecar runs, as in a hot restart. Each process locks a byte of one
/// file with its own open file description; the kernel releases the lock when its holder ends, however it
/// ends.
#pragma once

#include <fcntl.h>
#include <sys/stat.h>

#include <string>
#include <vector>

namespace mothring::node {

/// What is known of another process of this sidecar.
enum class OtherProcess {
    alone,   ///< No other process holds a lock.
    shared,  ///< Another process holds one.
    unknown  ///< This process has no lock that others see, or the locks can't be read.
};

/// The system calls that a HotRestartLock makes: as the kernel's, -1 with errno on failure. Tests replace
/// them by failing ones.
class LockCalls {
public:
    LockCalls() = default;
    LockCalls(const LockCalls&) = delete;
    LockCalls& operator=(const LockCalls&) = delete;
    virtual ~LockCalls() = default;

    virtual int open(const char* path, int flags, mode_t mode);
    virtual int lock(int file, int command, struct flock& range);
    virtual int status(const char* path, struct stat& into);
    virtual int status(int file, struct stat& into);

    /// The kernel's.
    static LockCalls& system();
};

/// A lock that processes of one sidecar hold beside each other, and by which they see each other.
class HotRestartLock {
public:
    /// Touches no file yet: what can't be had is tried again at each check.
    /// @param folder  where the file is.
    /// @param name  tells this sidecar from others.
    /// @param calls  must outlive this.
    HotRestartLock(const std::string& folder, const std::string& name,
                   LockCalls& calls = LockCalls::system());
    ~HotRestartLock();
    HotRestartLock(const HotRestartLock&) = delete;
    HotRestartLock& operator=(const HotRestartLock&) = delete;

    /// Takes the lock where it is not held, or where the file at the path has been deleted or replaced since,
    /// then reads the others' locks. Never waits and never throws for a failing call. For a few checks after
    /// a failure it finds `unknown` in place of `alone`: the other process may be retrying as well.
    OtherProcess check();

    const std::string& path() const { return path_; }
    /// Why the last check that found `unknown` did.
    std::string error() const;

    /// The folder for the file, as std::filesystem::temp_directory_path() chooses it, whether it exists or
    /// not.
    static std::string temporary_folder();

private:
    /// An open file with a byte locked. While it is open, its inode can't be used for another file.
    struct LockedFile {
        int file = -1;
        dev_t device = 0;
        ino_t inode = 0;

        bool is_open() const { return file >= 0; }
        bool is_same_file(const struct stat& status) const {
            return is_open() && device == status.st_dev && inode == status.st_ino;
        }
    };

    bool holds_file_at_path();
    bool lock_file_at_path();
    bool count_settling(bool seen_by_others);
    bool reuse_if_locked(int file, const struct stat& status);
    bool lock_a_byte(int file);
    OtherProcess others_in(int file);
    OtherProcess others_in_replaced();
    bool fail(int error);

    std::string path_;
    LockCalls& calls_;
    LockedFile current_;
    /// Files that were deleted or replaced while held and in which another process still holds its lock. An
    /// older version does not notice the replacement, and must go on seeing this process.
    std::vector<LockedFile> replaced_;
    /// Checks until `alone` can be found after a failure.
    int settling_checks_ = 0;
    int error_ = 0;
};

}  // namespace mothring::node
