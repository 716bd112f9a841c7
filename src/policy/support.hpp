// What the decisions in balance.cpp calculate with. Nothing here decides anything.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <vector>

#include "mothring/balancer.hpp"

namespace mothring {

// How much a server is a key's: alike at every sidecar (rendezvous hashing: Thaler and Ravishankar, 1998).
inline std::uint64_t rank_of(std::uint64_t key, std::uint64_t server) {
    const std::uint64_t words[] = {key, server};
    return XXH64(words, sizeof words, 0);
}

// Throws std::invalid_argument naming the setting that makes no sense.
void validate(const Settings& settings);

// Whether an outcome tells anything of the server: none that was ours or the request's own doing does.
inline bool is_verdict(Outcome o) {
    return o != Outcome::invalid_request && o != Outcome::cancelled && o != Outcome::not_sent;
}

inline bool proves_never_ran(Outcome o, const Settings& settings) {
    return o == Outcome::connect_failed || o == Outcome::not_sent ||
           (o == Outcome::overloaded && !settings.overloaded_may_have_run);
}

// Whether something came from the server that was asked.
inline bool is_answer(Outcome o) {
    return o == Outcome::completed || o == Outcome::failed || o == Outcome::overloaded;
}

// Whether a server that has left, or begun to, fails attempts in this way.
inline bool may_have_left(Outcome o) {
    return o == Outcome::overloaded || o == Outcome::connect_failed || o == Outcome::connection_lost;
}

// What is left at now of a weight of 1 at since, for a memory of that length.
inline double fade(Millis since, Millis now, Millis memory) { return std::exp((since - now) / memory); }

// A running mean of about the last `samples`; where they are rare, of the last `memory`.
struct Mean {
    double value = 0;
    Millis at = -1e9;
    void add(double sample, Millis now, double samples, Millis memory) {
        value += (sample - value) * std::max(1 / samples, 1 - fade(at, now, memory));
        at = now;
    }
};

// One that knows how far it lies off by chance.
struct NoisyMean : Mean {
    Mean squares;
    double count = 0;
    Millis known_at = -1e9;  // of the last that came with enough before it
    void add(double sample, Millis now, double samples, Millis memory) {
        const double weighed = std::min(samples, ++count);  // the first few weigh alike
        Mean::add(sample, now, weighed, memory);
        squares.add(sample * sample, now, weighed, memory);
        if (count >= samples) known_at = now;
    }
    // Boundless until there are as many: a mean of one would show no scatter at all.
    double error(double samples) const {
        if (count < samples) return std::numeric_limits<double>::infinity();
        return std::sqrt(std::max(0.0, squares.value - value * value) / (2 * samples - 1));
    }
};

// A sum that fades: each amount added loses its weight over `memory`.
struct Tally {
    double value = 0;
    Millis at = 0;
    double at_time(Millis now, Millis memory) const { return value > 0 ? value * fade(at, now, memory) : 0; }
    void add(double amount, Millis now, Millis memory) {
        value = at_time(now, memory) + amount;
        at = now;
    }
};

// SplitMix64: the same numbers with every standard library.
class Random {
public:
    explicit Random(std::uint64_t seed) : state_(seed) {}
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

private:
    std::uint64_t next() {
        std::uint64_t z = (state_ += 0x9e3779b97f4a7c15);
        z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
        z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
        return z ^ (z >> 31);
    }
    std::uint64_t state_;
};

// One of n at random, by their weights.
std::size_t weighted(Random& random, std::size_t n, const auto& weight) {
    double sum = 0;
    std::vector<double> weights(n);
    for (std::size_t i = 0; i < n; ++i) sum += weights[i] = weight(i);
    double at = random.unit() * sum;
    for (std::size_t i = 0; i + 1 < n; ++i)
        if ((at -= weights[i]) < 0) return i;
    return n - 1;
}

// How many are out at most as a rule where they come by chance: with a small mean far more than that.
inline double usual_peak(double mean) { return mean + 2 * std::sqrt(mean) + 1; }

}  // namespace mothring
