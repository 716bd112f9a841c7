#include "cluster/member_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mothring::cluster {

Member* MemberTable::find(const std::string& name) {
    const auto at = members_.find(name);
    return at == members_.end() ? nullptr : &at->second;
}

const Member* MemberTable::find(const std::string& name) const {
    const auto at = members_.find(name);
    return at == members_.end() ? nullptr : &at->second;
}

const Member* MemberTable::find_present(const std::string& name) const {
    const Member* const member = find(name);
    return member && is_present(member->claim.state) ? member : nullptr;
}

Member& MemberTable::insert(Member member) {
    const std::string name = member.claim.name;
    return members_.emplace(name, std::move(member)).first->second;
}

std::size_t MemberTable::present() const {
    const auto counted = [](const auto& entry) { return is_present(entry.second.claim.state); };
    return 1 + static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), counted));
}

View MemberTable::view() const {
    View view;
    view.alive = 1;
    std::size_t expected_dead = 0;
    for (const auto& [name, member] : members_) {
        switch (member.claim.state) {
            case State::alive:
                ++view.alive;
                break;
            case State::suspect:
                ++view.suspect;
                break;
            case State::dead:
                ++view.dead;
                if (member.expected) ++expected_dead;
                break;
            case State::left:
                ++view.left;
                break;
        }
    }
    view.expected = view.present() + expected_dead;
    return view;
}

std::vector<std::string> MemberTable::sample(std::size_t count, const std::set<std::string>& except,
                                             std::mt19937_64& random) const {
    std::vector<std::string> names;
    for (const auto& [name, member] : members_)
        if (is_present(member.claim.state) && !except.contains(name)) names.push_back(name);
    std::shuffle(names.begin(), names.end(), random);
    if (names.size() > count) names.resize(count);
    return names;
}

std::vector<std::string> MemberTable::dead() const {
    std::vector<std::string> names;
    for (const auto& [name, member] : members_)
        if (member.claim.state == State::dead) names.push_back(name);
    return names;
}

std::vector<const Member*> MemberTable::suspects() const {
    std::vector<const Member*> found;
    for (const auto& [name, member] : members_)
        if (member.suspicion) found.push_back(&member);
    return found;
}

// This runs after every datagram, so the present members are counted only once, and only if any member is
// suspected.
Millis MemberTable::next_expiry(const Parameters& parameters) const {
    Millis at = std::numeric_limits<Millis>::infinity();
    const std::vector<const Member*> suspected = suspects();
    if (suspected.empty()) return at;
    const std::size_t count = present();
    for (const Member* const member : suspected)
        at = std::min(at, member->suspicion->expires_at(parameters, count));
    return at;
}

std::vector<std::string> MemberTable::expired_suspects(Millis now, const Parameters& parameters) const {
    std::vector<std::string> names;
    const std::vector<const Member*> suspected = suspects();
    if (suspected.empty()) return names;
    const std::size_t count = present();
    for (const Member* const member : suspected)
        if (member->suspicion->expires_at(parameters, count) <= now) names.push_back(member->claim.name);
    return names;
}

bool MemberTable::any_accused_by(const std::string& accuser) const {
    return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
        return entry.second.suspicion && entry.second.suspicion->accused_by(accuser);
    });
}

std::vector<std::string> MemberTable::accused_by(const std::string& accuser) const {
    std::vector<std::string> names;
    for (const auto& [name, member] : members_)
        if (member.suspicion && member.suspicion->accused_by(accuser)) names.push_back(name);
    return names;
}

void MemberTable::postpone_suspicions(Millis stalled) {
    for (auto& [name, member] : members_)
        if (member.suspicion) member.suspicion->postpone(stalled);
}

void MemberTable::expire(Millis now, const Parameters& parameters) {
    const auto periods = [&](const Member& member) { return (now - member.since) / parameters.period; };
    for (auto& [name, member] : members_)
        if (member.claim.state == State::dead && periods(member) > parameters.stable_periods)
            member.expected = false;
    std::erase_if(members_, [&](const auto& entry) {
        const Member& member = entry.second;
        return (member.claim.state == State::left && periods(member) > parameters.stable_periods) ||
               (member.claim.state == State::dead && periods(member) > parameters.reconnect_periods);
    });
}

}  // namespace mothring::cluster
