#include "cluster/anti_entropy.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <map>
#include <utility>

namespace mothring::cluster {

namespace {

// Fraction by which the interval varies in either direction, so that exchanges of different members do not
// synchronise.
constexpr double kJitterFraction = 0.25;
// Minimum delay of the first exchange, as a fraction of the interval.
constexpr double kFirstFraction = 0.5;

}  // namespace

void AntiEntropy::schedule_first(Millis now, const Parameters& parameters, std::mt19937_64& random) {
    std::uniform_real_distribution<double> fraction(kFirstFraction, 1);
    next_at_ = now + parameters.period * parameters.min_sync_periods * fraction(random);
}

void AntiEntropy::schedule_next(Millis now, const Parameters& parameters, std::size_t members,
                                std::mt19937_64& random) {
    std::uniform_real_distribution<double> fraction(1 - kJitterFraction, 1 + kJitterFraction);
    next_at_ = now + parameters.period * parameters.sync_periods(members) * fraction(random);
}

std::vector<std::string> choose_partners(const MemberTable& table, std::mt19937_64& random) {
    std::vector<std::string> partners = table.sample(1, {}, random);
    std::vector<std::string> dead = table.dead();
    if (dead.empty()) return partners;
    std::uniform_int_distribution<std::size_t> index(0, dead.size() - 1);
    partners.push_back(std::move(dead[index(random)]));
    return partners;
}

std::uint64_t digest_of(const std::vector<Claim>& claims) {
    std::map<std::string, std::uint64_t> incarnations;
    for (const Claim& claim : claims)
        if (is_present(claim.state)) incarnations[claim.name] = claim.incarnation;
    std::uint64_t hash = 0;
    for (const auto& [name, incarnation] : incarnations) {
        const std::uint64_t words[] = {hash, incarnation};
        hash = XXH64(name.data(), name.size(), XXH64(words, sizeof words, 0));
    }
    return hash;
}

}  // namespace mothring::cluster
