/// @file
/// The member table: what this member knows of every other one.
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

/// How many members are in which state, as this member sees it.
struct View {
    std::size_t alive = 0;
    std::size_t suspect = 0;
    std::size_t dead = 0;
    std::size_t left = 0;
    /// Those present, and those that died not long ago.
    std::size_t expected = 0;
    /// Whether the view is still kept up to date; not so once this member is superseded.
    bool stands = true;
    std::size_t present() const { return alive + suspect; }
    /// Whether more than half of the expected members are present, so that quotas may be shared by their
    /// count.
    bool quorum() const { return stands && 2 * present() > expected; }
};

/// The record of another member.
struct Member {
    /// The claim that overrides all others.
    Claim claim;
    /// When it came into its state.
    Millis since = 0;
    /// Present exactly in State::suspect.
    std::optional<Suspicion> suspicion{};
    /// In State::dead: whether it still counts for the quorum.
    bool expected = true;
};

/// The other members by name. This member itself has no record but is counted.
class MemberTable {
public:
    /// Null: there is no record.
    Member* find(const std::string& name);
    const Member* find(const std::string& name) const;
    /// The record of a present member; null: it is not present.
    const Member* find_present(const std::string& name) const;
    /// Adds a record for a name that has none yet.
    Member& insert(Member member);
    /// The number of records, also of members that are gone.
    std::size_t size() const { return members_.size(); }
    auto begin() { return members_.begin(); }
    auto end() { return members_.end(); }
    auto begin() const { return members_.begin(); }
    auto end() const { return members_.end(); }

    /// The number of present members, this one included: the N of the timeouts and limits.
    std::size_t present() const;
    View view() const;
    /// Draws at most `count` present members other than `except`, in random order.
    std::vector<std::string> sample(std::size_t count, const std::set<std::string>& except,
                                    std::mt19937_64& random) const;
    /// The names of those in State::dead.
    std::vector<std::string> dead() const;
    /// When the first suspicion expires; infinite where nobody is suspected.
    Millis next_expiry(const Parameters& parameters) const;
    /// The names of those whose suspicion has expired.
    std::vector<std::string> expired_suspects(Millis now, const Parameters& parameters) const;
    /// Whether `accuser` has accused a member that is still suspected.
    bool any_accused_by(const std::string& accuser) const;
    /// The names of those that `accuser` has accused and that are still suspected.
    std::vector<std::string> accused_by(const std::string& accuser) const;
    /// Gives all suspects back the time for which this process did not listen.
    void postpone_suspicions(Millis stalled);
    /// Drops the records of members that left or died long ago. Those that have been dead for a while are no
    /// longer expected.
    void expire(Millis now, const Parameters& parameters);

private:
    std::vector<const Member*> suspects() const;

    std::map<std::string, Member> members_;
};

}  // namespace mothring::cluster
