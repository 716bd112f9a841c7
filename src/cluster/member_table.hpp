// The member table: what this member holds of every other one, and the questions asked of all of them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/claim.hpp"
#include "cluster/parameters.hpp"
#include "cluster/suspicion.hpp"

namespace mothring::cluster {

// This member's own view. `expected`: those it counts on, the ones that died not long ago among them;
// `quorum`: more than half of these are present, so that what is shared by count may be.
struct View {
    std::size_t alive = 0, suspect = 0, dead = 0, left = 0, expected = 0;
    bool stands = true;  // false: it is not kept up any more (superseded)
    std::size_t present() const { return alive + suspect; }
    bool quorum() const { return stands && 2 * present() > expected; }
};

struct Member {
    Claim claim;                           // the one that stands
    Millis since = 0;                      // in this state
    std::optional<Suspicion> suspicion{};  // exactly while `suspect`
    bool expected = true;                  // while dead: it still counts for the quorum
};

// The others by name; this member itself has no record but is counted.
class MemberTable {
public:
    // Null where there is no record.
    Member* find(const std::string& name);
    const Member* find(const std::string& name) const;
    // The record of a present member, or null.
    const Member* find_present(const std::string& name) const;
    // Adds one of a name that has no record yet.
    Member& insert(Member member);
    // Records held, of those gone too.
    std::size_t size() const { return members_.size(); }
    auto begin() { return members_.begin(); }
    auto end() { return members_.end(); }
    auto begin() const { return members_.begin(); }
    auto end() const { return members_.end(); }

    // Present members, this one among them: the N that the timeouts and limits go by.
    std::size_t present() const;
    View view() const;
    // The names of present members other than `except`, `count` at most, drawn at random and in random order.
    std::vector<std::string> sample(std::size_t count, const std::set<std::string>& except,
                                    std::mt19937_64& random) const;
    std::vector<std::string> dead() const;
    // When the first suspicion runs out; infinite where nobody is suspected.
    Millis next_expiry(const Parameters& parameters) const;
    // Those whose suspicion has run out by `now`.
    std::vector<std::string> expired_suspects(Millis now, const Parameters& parameters) const;
    // Those that `accuser` has accused and that are still suspected.
    bool any_accused_by(const std::string& accuser) const;
    std::vector<std::string> accused_by(const std::string& accuser) const;
    // Gives all suspects back the time for which this process did not listen.
    void postpone_suspicions(Millis stalled);
    // Drops the records of those that left or died long ago, and counts no more on those dead for a while.
    void expire(Millis now, const Parameters& parameters);

private:
    std::vector<const Member*> suspects() const;

    std::map<std::string, Member> members_;
};

}  // namespace mothring::cluster
