// Whether another process of this sidecar lives, as in a hot restart. Each process locks a byte of one file
// with its own open file description; the kernel releases the lock when its holder ends, however it ends.
#pragma once

#include <fcntl.h>
#include <sys/stat.h>

#include <string>
#include <vector>

namespace mothring::node {

enum class OtherProcess {
    alone,    // no other process holds a lock
    shared,   // another process holds one
    unknown,  // this process has no lock that others see, or the locks can't be read
};

// The system calls that a HotRestartLock makes: as the kernel's, -1 with errno on failure. Tests put failing
// ones in their place.
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
    static LockCalls& system();
};

class HotRestartLock {
public:
    // In that folder, for the sidecar that the name tells apart. Touches no file yet and never throws for
    // one: what can't be had is tried again at each look.
    HotRestartLock(const std::string& folder, const std::string& name,
                   LockCalls& calls = LockCalls::system());
    ~HotRestartLock();
    HotRestartLock(const HotRestartLock&) = delete;
    HotRestartLock& operator=(const HotRestartLock&) = delete;

    // One look: takes the lock where it is not held, or where the file at the path is no longer the one held
    // (deleted or replaced), then reads the others' locks. Waits for nobody. After a failure it stays
    // `unknown` for a few looks more where it finds no other: that one may be trying again as well.
    OtherProcess other_lives();

    const std::string& path() const { return path_; }
    // Why the last look that ended in `unknown` did.
    std::string error() const;

    // The folder for the file: as std::filesystem::temp_directory_path() chooses it, whether it exists or
    // not.
    static std::string temporary_folder();

private:
    // An open file with a byte locked. The inode can't be used for another file while it is open.
    struct Held {
        int file = -1;
        dev_t device = 0;
        ino_t inode = 0;
        bool is(const struct stat& status) const {
            return file >= 0 && device == status.st_dev && inode == status.st_ino;
        }
    };

    bool holds_file_at_path();
    bool take();
    bool settle(bool seen_by_others);
    bool reuse(int file, const struct stat& status);
    bool lock_a_byte(int file);
    OtherProcess others_in(int file);
    OtherProcess others_in_replaced();
    bool failed(int error);

    std::string path_;
    LockCalls& calls_;
    Held held_;
    // Files that were deleted or replaced while held and in which another process still holds its lock: an
    // older version does not notice, and must go on seeing this process.
    std::vector<Held> replaced_;
    int settling_ = 0;  // looks to go until `alone` can be told after a failure
    int error_ = 0;
};

}  // namespace mothring::node
