/// @file
/// The servers that discovery lists, and the subset of them that this sidecar uses.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "endpoint.hpp"
#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// Owns the servers and the indexes over them. A server stays while it is listed or has attempts in flight.
/// In the indexes servers are in the order of their identifiers, so that equal events give equal choices.
class EndpointSet {
public:
    using Map = std::map<ServerId, Endpoint>;

    /// @param settings  must outlive this.
    explicit EndpointSet(const Settings& settings) : settings_(settings) {}

    /// Before the entries of a whole list: no server is listed until one of them says so.
    void unlist_all();

    /// What an entry of a list has changed.
    struct Update {
        Endpoint& endpoint;
        /// It is new, or another process under the same name: nothing known of the last one holds.
        bool is_new_process = false;
    };
    /// Takes an entry of a list. Once all are taken, update_indexes() has to follow.
    Update update(const EndpointInfo& info);

    /// Brings the indexes up to date after a list's entries.
    /// @return the servers that are gone.
    std::vector<ServerId> update_indexes(const EndpointList& list, Millis now);

    /// Drops a server that is not listed and has no attempt in flight any more.
    /// @return whether it is gone.
    bool forget_if_gone(ServerId id);

    /// From this time on, changes that the list lacks count as notified.
    void set_stale_at(Millis time) { stale_at_ = time; }
    bool is_stale(Millis now) const { return now >= stale_at_; }

    /// Whether a server is known to be there and not draining, although the list may be stale.
    bool is_known_present(const Endpoint& endpoint, Millis now) const;

    /// Puts a server into the subset.
    void join_subset(Endpoint& endpoint);
    /// Takes a server out of the subset; prune_subset() drops it from the index.
    static void leave_subset(Endpoint& endpoint) { endpoint.index.in_subset = false; }
    void prune_subset();

    /// Counts a completed attempt.
    void record_completion(Endpoint& endpoint, Millis now);

    bool is_warming_up(const Endpoint& endpoint, Millis now) const;
    bool is_active_and_warm(const Endpoint& endpoint, Millis now) const;

    /// Null: not known.
    Endpoint* find(ServerId id);
    Endpoint& at(ServerId id) { return endpoints_.at(id); }
    const Endpoint& at(ServerId id) const { return endpoints_.at(id); }

    const Map& all() const { return endpoints_; }
    /// Listed as active.
    const std::vector<Endpoint*>& active() const { return active_; }
    /// How many are listed as active, by kind of machine.
    const std::map<KindId, int>& active_by_kind() const { return active_by_kind_; }
    /// Active and warming up when last listed.
    const std::vector<Endpoint*>& warming_up() const { return warming_up_; }
    /// The subset in use, after prune_subset().
    const std::vector<Endpoint*>& subset() const { return subset_; }
    /// With a completed attempt.
    const std::vector<Endpoint*>& with_completions() const { return with_completions_; }

private:
    void index(Endpoint& endpoint, Millis now);

    const Settings& settings_;
    Map endpoints_;
    std::vector<Endpoint*> active_;
    std::vector<Endpoint*> warming_up_;
    std::vector<Endpoint*> subset_;
    std::vector<Endpoint*> with_completions_;
    std::map<KindId, int> active_by_kind_;
    Millis stale_at_ = kNever;
};

}  // namespace mothring
