#include "node/twin.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "node/log.hpp"

namespace mothring::node {

namespace {

constexpr off_t kMost = 16;  // processes of one sidecar at a time

struct flock lock_on(off_t start, off_t length) {
    struct flock lock {};
    lock.l_type = F_WRLCK;
    lock.l_whence = SEEK_SET;
    lock.l_start = start;
    lock.l_len = length;
    return lock;
}

}  // namespace

Twin::Twin(const std::string& folder, const std::string& name) {
    const std::string path = folder + "/whinledge-" + name + ".lives";
    file_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    for (off_t byte = 0; file_ >= 0 && byte < kMost; ++byte) {
        struct flock lock = lock_on(byte, 1);
        if (::fcntl(file_, F_OFD_SETLK, &lock) == 0) return;
    }
    log(spdlog::level::warn, "twin.no_lock", {{"path", path}, {"error", std::strerror(errno)}});
    if (file_ >= 0) ::close(file_);
    file_ = -1;
}

Twin::~Twin() {
    if (file_ >= 0) ::close(file_);
}

bool Twin::other_lives() const {
    struct flock lock = lock_on(0, kMost);
    return file_ >= 0 && ::fcntl(file_, F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
}

}  // namespace mothring::node
