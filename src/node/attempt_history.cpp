#include "node/attempt_history.hpp"

#define XXH_INLINE_ALL
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <new>
#include <span>
#include <system_error>

#include "net/log.hpp"

namespace mothring::node {

namespace {

constexpr std::size_t kPlacesPerRequest = 8;
constexpr std::size_t kPlaces = 16384;
/// How long a request is remembered. It is long compared with the deadlines of requests and with an upgrade.
constexpr std::int64_t kRetentionNs = 60'000'000'000;
constexpr double kNsPerMilli = 1e6;
constexpr mode_t kOwnerOnly = 0600;

std::int64_t now_ns() {
    return std::chrono::nanoseconds(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void* map_private(std::size_t size) {
    return ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_POPULATE, -1, 0);
}

// Maps a file, whose blocks are allocated before: a full disk would otherwise end the process at a write.
void* map_file(const std::string& path, std::size_t size) {
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, kOwnerOnly);
    if (file < 0) return MAP_FAILED;
    void* memory = MAP_FAILED;
    if (const int failed = ::posix_fallocate(file, 0, static_cast<off_t>(size)); failed != 0)
        errno = failed;
    else
        memory = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_POPULATE, file, 0);
    const int error = errno;
    ::close(file);
    errno = error;
    return memory;
}

}  // namespace

AttemptHistory::AttemptHistory(const std::optional<std::string>& path) {
    constexpr std::size_t kSize = kPlaces * sizeof(Place);
    void* memory = path ? map_file(*path, kSize) : map_private(kSize);
    if (memory == MAP_FAILED && path) {
        net::log(net::LogLevel::warn, "history.not_shared",
                 {{"path", *path}, {"error", std::generic_category().message(errno)}});
        memory = map_private(kSize);
    }
    if (memory == MAP_FAILED) throw std::bad_alloc();
    places_ = static_cast<Place*>(memory);
}

AttemptHistory::~AttemptHistory() { ::munmap(places_, kPlaces * sizeof(Place)); }

std::string AttemptHistory::path_of(const std::string& folder, const std::string& name) {
    return folder + "/mothring-" + name + ".requests";
}

std::uint64_t AttemptHistory::digest_of(std::string_view text) {
    return std::max<std::uint64_t>(1, XXH64(text.data(), text.size(), 0));
}

std::optional<AttemptHistory::Entry> AttemptHistory::find(std::string_view request_id) const {
    const Place* const place = find_place(digest_of(request_id));
    if (place == nullptr) return std::nullopt;
    return Entry{place->server.load(), static_cast<Millis>(now_ns() - place->sent_at_ns.load()) / kNsPerMilli,
                 place->ended_at_ns.load() == 0};
}

void AttemptHistory::add(std::string_view request_id, std::string_view server) {
    const std::uint64_t request = digest_of(request_id);
    if (Place* const known = find_place(request)) {
        known->ended_at_ns = 0;
        return;
    }
    Place& place = oldest_place(request);
    place.request = 0;
    place.server = digest_of(server);
    place.ended_at_ns = 0;
    place.sent_at_ns = now_ns();
    place.request = request;
}

void AttemptHistory::end(std::string_view request_id) {
    if (Place* const place = find_place(digest_of(request_id))) place->ended_at_ns = now_ns();
}

void AttemptHistory::remove(std::string_view request_id) {
    if (Place* const place = find_place(digest_of(request_id))) place->request = 0;
}

AttemptHistory::Place* AttemptHistory::first_place(std::uint64_t request) const {
    constexpr std::uint64_t kGroups = kPlaces / kPlacesPerRequest;
    return places_ + request % kGroups * kPlacesPerRequest;
}

AttemptHistory::Place* AttemptHistory::find_place(std::uint64_t request) const {
    const std::int64_t since = now_ns() - kRetentionNs;
    const std::span<Place> group(first_place(request), kPlacesPerRequest);
    const auto found = std::ranges::find_if(group, [&](const Place& place) {
        return place.request.load() == request && place.sent_at_ns.load() > since;
    });
    return found == group.end() ? nullptr : &*found;
}

AttemptHistory::Place& AttemptHistory::oldest_place(std::uint64_t request) const {
    const auto sent_at = [](const Place& place) {
        return place.request.load() == 0 ? 0 : place.sent_at_ns.load();
    };
    const std::span<Place> group(first_place(request), kPlacesPerRequest);
    return *std::ranges::min_element(group, {}, sent_at);
}

}  // namespace mothring::node
