/// @file
/// The member table: the claims that this member holds about all others.
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

/// Number of members in each state, as this member sees them.
struct View {
    std::size_t alive = 0;
    std::size_t suspect = 0;
    std::size_t dead = 0;
    std::size_t left = 0;
    /// Present members and members that died recently.
    std::size_t expected = 0;
    /// Whether the view is kept up to date; false after this member is superseded.
    bool is_current = true;
    std::size_t present() const { return alive + suspect; }
    /// Returns whether more than half of the expected members are present. Quotas may then be divided by the
    /// number of members.
    bool quorum() const { return is_current && 2 * present() > expected; }
};

/// Record of another member.
struct Member {
    /// Claim that overrides all others received.
    Claim claim;
    /// Time at which the member entered its state.
    Millis since = 0;
    /// Set exactly in State::suspect.
    std::optional<Suspicion> suspicion{};
    /// In State::dead, whether the member still counts for the quorum.
    bool expected = true;
};

/// Holds the records of the other members by name. This member has no record but is counted.
class MemberTable {
public:
    /// Returns the record, or null if there is none.
    Member* find(const std::string& name);
    const Member* find(const std::string& name) const;
    /// Returns the record of a present member, or null.
    const Member* find_present(const std::string& name) const;
    /// Adds a record. The name must have none yet.
    Member& insert(Member member);
    /// Returns the number of records, including those of dead members and members that left.
    std::size_t size() const { return members_.size(); }
    auto begin() { return members_.begin(); }
    auto end() { return members_.end(); }
    auto begin() const { return members_.begin(); }
    auto end() const { return members_.end(); }

    /// Returns the number of present members including this one: the N of the timeouts and limits.
    std::size_t present() const;
    View view() const;
    /// Draws at most `count` present members that are not in `except`, in random order.
    std::vector<std::string> sample(std::size_t count, const std::set<std::string>& except,
                                    std::mt19937_64& random) const;
    /// Returns the names of the members in State::dead.
    std::vector<std::string> dead() const;
    /// Returns the time at which the first suspicion expires; infinite if no member is suspected.
    Millis next_expiry(const Parameters& parameters) const;
    /// Returns the names of the members whose suspicion has expired.
    std::vector<std::string> expired_suspects(Millis now, const Parameters& parameters) const;
    /// Returns whether a suspicion raised or confirmed by `accuser` is pending.
    bool any_accused_by(const std::string& accuser) const;
    /// Returns the names of the members with a pending suspicion raised or confirmed by `accuser`.
    std::vector<std::string> accused_by(const std::string& accuser) const;
    /// Extends all suspicions by the time for which this process did not receive.
    void postpone_suspicions(Millis stalled);
    /// Drops the records of members that left or died long ago. Members that have been dead for
    /// Parameters::stable_periods are no longer expected.
    void expire(Millis now, const Parameters& parameters);

private:
    std::vector<const Member*> suspects() const;

    std::map<std::string, Member> members_;
};

}  // namespace mothring::cluster
