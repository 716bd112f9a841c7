/// @file
/// Detects whether another process of this sidecar runs, as in a hot restart. Each process locks one byte of
/// a common file through its own open file description. The kernel releases the lock when the process ends,
/// also after a crash.
#pragma once

#include <fcntl.h>
#include <sys/stat.h>

#include <string>
#include <vector>

namespace mothring::node {

/// Whether another process of this sidecar runs.
enum class OtherProcess {
    alone,   ///< No other process holds a lock.
    shared,  ///< Another process holds a lock.
    unknown  ///< This process holds no lock that other processes see, or the locks can't be read.
};

/// The system calls that a HotRestartLock makes. As in the kernel's interface, they return -1 and set errno
/// on failure. Tests replace them with failing ones.
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

    /// Returns the calls of the kernel.
    static LockCalls& system();
};

/// A lock that all processes of one sidecar hold concurrently, and by which they detect each other.
class HotRestartLock {
public:
    /// Accesses no file yet. Each check opens and locks the file if that has not succeeded before.
    /// @param folder  the folder of the lock file.
    /// @param name  identifies the sidecar; its processes use the same name.
    /// @param calls  must outlive this.
    HotRestartLock(const std::string& folder, const std::string& name,
                   LockCalls& calls = LockCalls::system());
    ~HotRestartLock();
    HotRestartLock(const HotRestartLock&) = delete;
    HotRestartLock& operator=(const HotRestartLock&) = delete;

    /// Acquires the lock if it is not held, or if the file at the path has been deleted or replaced since,
    /// and then reads the locks of other processes. Neither blocks nor throws if a system call fails. For a
    /// few checks after a failure it returns `unknown` instead of `alone`, as another process may have failed
    /// for the same reason and be retrying as well.
    OtherProcess check();

    const std::string& path() const { return path_; }
    /// Returns the reason why check() last returned `unknown`.
    std::string error() const;

    /// Returns the folder for the lock file, chosen as std::filesystem::temp_directory_path() chooses it, but
    /// without checking that it exists.
    static std::string temporary_folder();

private:
    /// An open file in which this process has locked a byte. While it is open, the kernel does not reuse its
    /// inode number for another file.
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
    bool lock_free_byte(int file);
    OtherProcess find_other_process(int file);
    OtherProcess find_other_process_in_replaced();
    bool record_error(int error);

    std::string path_;
    LockCalls& calls_;
    LockedFile current_;
    /// Lock files that were deleted or replaced while held, and in which another process still holds a lock.
    /// They stay locked because older versions do not notice the replacement and must still detect this
    /// process.
    std::vector<LockedFile> replaced_;
    /// Number of successful checks needed before `alone` may be returned after a failure.
    int settling_checks_ = 0;
    int error_ = 0;
};

}  // namespace mothring::node
