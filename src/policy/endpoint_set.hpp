/// @file
/// The servers of the endpoint list and the subset of them that this sidecar uses.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "endpoint.hpp"
#include "mothring/events.hpp"
#include "mothring/settings.hpp"

namespace mothring {

/// Stores the known servers and the indexes over them. A server is kept while it is listed or has attempts in
/// flight. The indexes are sorted by server identifier, so that equal sequences of events lead to equal
/// decisions.
class EndpointSet {
public:
    using Map = std::map<ServerId, Endpoint>;

    /// @param settings  must outlive this object.
    explicit EndpointSet(const Settings& settings) : settings_(settings) {}

    /// Marks every server as not listed. Called before the entries of a full list are applied.
    void unlist_all();

    /// The effect of one entry of the endpoint list.
    struct Update {
        Endpoint& endpoint;
        /// The server is new, or a new process runs under its name: the state recorded of the previous
        /// process does not apply to it.
        bool is_new_process = false;
    };
    /// Applies an entry of the endpoint list. The caller calls update_indexes() after the last entry.
    Update update(const EndpointInfo& info);

    /// Updates the indexes after the entries of `list` have been applied.
    /// @return the servers that were erased.
    std::vector<ServerId> update_indexes(const EndpointList& list, Millis now);

    /// Erases a server that is not listed and has no attempt in flight.
    /// @return whether it was erased.
    bool erase_if_unused(ServerId id);

    /// Sets the time from which changes that the known list lacks count as notified.
    void set_stale_at(Millis time) { stale_at_ = time; }
    /// Returns whether changes that the known list lacks count as notified.
    bool is_stale(Millis now) const { return now >= stale_at_; }

    /// Returns whether a server is known to be running and not draining; always true while the list is not
    /// stale.
    bool is_known_present(const Endpoint& endpoint, Millis now) const;

    /// Adds a server to the subset.
    void join_subset(Endpoint& endpoint);
    /// Removes a server from the subset; its index entry remains until prune_subset().
    static void leave_subset(Endpoint& endpoint) { endpoint.index.in_subset = false; }
    /// Erases the index entries of servers that have left the subset.
    void prune_subset();

    /// Counts a completed attempt.
    void record_completion(Endpoint& endpoint, Millis now);

    bool is_warming_up(const Endpoint& endpoint, Millis now) const;
    bool is_active_and_warm(const Endpoint& endpoint, Millis now) const;

    /// Returns the server, or null if it is not known.
    Endpoint* find(ServerId id);
    Endpoint& at(ServerId id) { return endpoints_.at(id); }
    const Endpoint& at(ServerId id) const { return endpoints_.at(id); }

    const Map& all() const { return endpoints_; }
    /// The servers that are listed as active.
    const std::vector<Endpoint*>& active() const { return active_; }
    /// The number of servers that are listed as active, by kind of machine.
    const std::map<KindId, int>& active_by_kind() const { return active_by_kind_; }
    /// The active servers that were warming up when the indexes were last updated. Some may be warm by now.
    const std::vector<Endpoint*>& warming_up() const { return warming_up_; }
    /// The subset in use. Call prune_subset() first: until then it may hold servers that have left.
    const std::vector<Endpoint*>& subset() const { return subset_; }
    /// The servers that have completed at least one attempt.
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
