/// @file
/// Statistics of the lab. Histogram, Tally and ClientTally are plain values that are merged by addition. Each
/// is owned by one thread; other threads read it after that thread has stopped, or read a copy made on it.
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

/// Records latencies in microseconds in log-linear buckets, as HdrHistogram does. Values below 64 us are
/// exact. Above, each octave has 32 buckets, so a reported value exceeds the recorded value by at most 1/32.
class Histogram {
public:
    void record(double us) {
        const auto value = static_cast<std::uint64_t>(std::max(0.0, us));
        const std::size_t at = bucket_of(value);
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
    /// Returns the latency in microseconds that a share (0 to 1) of the recorded values does not exceed, or 0
    /// if no value is recorded.
    std::uint64_t percentile(double share) const {
        const auto rank = static_cast<std::uint64_t>(share * static_cast<double>(count_) + 0.999999);
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < counts_.size(); ++i)
            if ((seen += counts_[i]) >= std::max<std::uint64_t>(rank, 1))
                return std::min(largest_in(i), max_);
        return max_;
    }

private:
    static std::size_t bucket_of(std::uint64_t value) {
        const int bits = static_cast<int>(std::bit_width(value));
        if (bits <= 6) return value;
        const int shift = bits - 6;
        return static_cast<std::size_t>(shift) * 32 + (value >> shift);
    }
    static std::uint64_t largest_in(std::size_t at) {
        if (at < 64) return at;
        const std::size_t shift = at / 32 - 1;
        return ((at - shift * 32 + 1) << shift) - 1;
    }
    std::vector<std::uint32_t> counts_;
    std::uint64_t count_ = 0, max_ = 0;
};

/// Outcome of a request as its client observed it. `lost` means that the connection ended without a complete
/// response. `wrong` means that the client received a 200 that is not a scan server's response to this
/// request, or more than one response. Both violate the platform's requirements unless the sidecar was killed
/// meanwhile.
enum class End { served, refused, failed, timed_out, lost, unreachable, wrong };
inline constexpr std::size_t kEnds = 7;
inline constexpr std::array<const char*, kEnds> kEndNames{"served", "refused",     "failed", "timed_out",
                                                          "lost",   "unreachable", "wrong"};

struct Tally {
    std::array<std::uint64_t, kEnds> ends{};
    /// Requests served within the latency objective, and requests served from another zone.
    std::uint64_t on_time = 0, crossed = 0;
    Histogram latency;  ///< latencies of the served requests

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

/// Outcomes of the requests of one sidecar's clients, in total and by the second in which they were sent.
struct ClientTally {
    Tally all;
    std::vector<Tally> seconds;
};

/// Counts the attempts that reached a scan server, by request id. The lab uses it to check the platform's
/// requirement that a request with the effect `once` is not sent again after an attempt that may have run.
/// The servers' threads share one instance.
class Ledger {
public:
    /// Records an attempt. `may_have_run` is false if the server rejected the attempt with Not-Started.
    void arrived(const std::string& id, Idempotency effect, bool may_have_run) {
        const std::lock_guard lock(mutex_);
        Entry& entry = requests_[id];
        // An attempt is a violation only if an earlier attempt of the same request may have run.
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
    /// Returns the number of requests for each number of attempts that arrived.
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
