// What the lab counts. Plain values that merge by adding; each is owned by one thread and read after it
// stopped, or copied on that thread.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "mothring/balancer.hpp"

namespace mothring::lab {

// Latencies in microseconds in log-linear buckets, in the manner of HdrHistogram: exact below 64 us, then 32
// buckets an octave, so a value read is at most 1/32 above the value recorded.
class Histogram {
public:
    void record(double us) {
        const auto value = static_cast<std::uint64_t>(std::max(0.0, us));
        const std::size_t at = place(value);
        if (at >= counts_.size()) counts_.resize(at + 1);
        ++counts_[at];
        ++count_;
        max_ = std::max(max_, value);
    }
    void add(const Histogram& other) {
        if (counts_.size() < other.counts_.size()) counts_.resize(other.counts_.size());
        for (std::size_t i = 0; i < other.counts_.size(); ++i) counts_[i] += other.counts_[i];
        count_ += other.count_;
        max_ = std::max(max_, other.max_);
    }
    std::uint64_t count() const { return count_; }
    std::uint64_t max() const { return max_; }
    // The value that `share` (0 to 1) of those recorded do not exceed, in microseconds; 0 where none is.
    std::uint64_t percentile(double share) const {
        const auto rank = static_cast<std::uint64_t>(share * static_cast<double>(count_) + 0.999999);
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < counts_.size(); ++i)
            if ((seen += counts_[i]) >= std::max<std::uint64_t>(rank, 1)) return std::min(upper(i), max_);
        return max_;
    }

private:
    static std::size_t place(std::uint64_t value) {
        const int bits = static_cast<int>(std::bit_width(value));
        if (bits <= 6) return value;
        const int shift = bits - 6;
        return static_cast<std::size_t>(shift) * 32 + (value >> shift);
    }
    static std::uint64_t upper(std::size_t at) {
        if (at < 64) return at;
        const std::size_t shift = at / 32 - 1;
        return ((at - shift * 32 + 1) << shift) - 1;
    }
    std::vector<std::uint32_t> counts_;
    std::uint64_t count_ = 0, max_ = 0;
};

// How a request ended, seen from its client. `lost`: its connection ended without a whole answer; `wrong`:
// a 200 that is no scan server's answer to it, or more than one answer; both break a rule unless the
// sidecar was killed meanwhile.
enum class End { served, refused, failed, timed_out, lost, unreachable, wrong };
inline constexpr std::size_t kEnds = 7;
inline constexpr std::array<const char*, kEnds> kEndNames{"served", "refused",     "failed", "timed_out",
                                                          "lost",   "unreachable", "wrong"};

struct Tally {
    std::array<std::uint64_t, kEnds> ends{};
    std::uint64_t on_time = 0, crossed = 0;  // of those served: within the aim; from another zone
    Histogram latency;                       // of those served

    std::uint64_t& operator[](End end) { return ends[static_cast<std::size_t>(end)]; }
    std::uint64_t operator[](End end) const { return ends[static_cast<std::size_t>(end)]; }
    std::uint64_t all() const {
        std::uint64_t sum = 0;
        for (const auto count : ends) sum += count;
        return sum;
    }
    void add(const Tally& other) {
        for (std::size_t i = 0; i < kEnds; ++i) ends[i] += other.ends[i];
        on_time += other.on_time;
        crossed += other.crossed;
        latency.add(other.latency);
    }
};

// Of one sidecar's clients: by the second in which the request was sent, and together.
struct ClientTally {
    Tally all;
    std::vector<Tally> seconds;
};

// Every request that reached a scan server, by its id: what the rule on duplicates is checked against
// (PROTOCOL, "Sidecars to scan servers"). Shared by the servers' threads.
class Ledger {
public:
    // `may_have_run`: false where the server turned it away with Not-Started.
    void arrived(const std::string& id, Idempotency effect, bool may_have_run) {
        const std::lock_guard lock(mutex_);
        Entry& entry = requests_[id];
        // The attempt that breaks the rule is one that comes after an attempt that may have run.
        if (effect == Idempotency::never && entry.run > 0) ++once_repeated_;
        ++entry.attempts;
        entry.run += may_have_run;
        ++attempts_;
    }
    std::uint64_t attempts() const {
        const std::lock_guard lock(mutex_);
        return attempts_;
    }
    std::uint64_t once_repeated() const {
        const std::lock_guard lock(mutex_);
        return once_repeated_;
    }
    // Requests by how many attempts of theirs arrived.
    std::map<unsigned, std::uint64_t> by_attempts() const {
        const std::lock_guard lock(mutex_);
        std::map<unsigned, std::uint64_t> counts;
        for (const auto& [id, entry] : requests_) ++counts[entry.attempts];
        return counts;
    }
    unsigned attempts_of(const std::string& id) const {
        const std::lock_guard lock(mutex_);
        const auto at = requests_.find(id);
        return at == requests_.end() ? 0 : at->second.attempts;
    }

private:
    struct Entry {
        unsigned attempts = 0, run = 0;
    };
    mutable std::mutex mutex_;
    std::unordered_map<std::string, Entry> requests_;
    std::uint64_t attempts_ = 0, once_repeated_ = 0;
};

}  // namespace mothring::lab
