/// @file
/// Simulates the discovery service: GET /catalog/members, watches with `from` and `hold_ms`, versions, full
/// lists and lists of changes. It handles calls in order, and answers 503 or resets connections during an
/// outage. It runs on one thread. Each sidecar has its own listener, so that `addr` may differ between
/// sidecars.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/asio.hpp"

namespace mothring::lab {

/// Serves the endpoint list of an experiment to the sidecars.
class DiscoveryStandIn {
public:
    /// A server in the endpoint list.
    struct Entry {
        std::string id, zone, kind = "standard";
        std::uint32_t cell = 0;
        std::string state = "Ready";  ///< Ready, Terminating or Gone.
        std::uint64_t started_ms = 0;
    };
    enum class Mode { up, refusing, resetting };
    /// Returns the address at which the sidecar `viewer` reaches the server.
    using AddressOf = std::function<Tcp::endpoint(const std::string& viewer, const std::string& server)>;

    /// `service` is the time that one call takes. Calls are handled one after another; a call that would wait
    /// for longer than `max_wait` is answered with 503.
    DiscoveryStandIn(AddressOf address_of, Millis service = 0.2, Millis max_wait = 1000);
    ~DiscoveryStandIn();

    // The functions below may be called from any thread.

    /// Opens a listener for the sidecar `viewer` and returns its address.
    Tcp::endpoint add_viewer(const std::string& viewer);
    /// Adds or replaces the entries, all in one new version of the list.
    void put(const std::vector<Entry>& entries);
    void set_state(const std::vector<std::string>& ids, const std::string& state);
    /// Sets the server's started_ms to the current time of the servers' wall clocks.
    void restarted(const std::string& id);
    /// Steps the servers' wall clocks: forward if `by` is positive, otherwise back.
    void step_clocks(Millis by);
    /// Sets the mode. Every mode but `up` ends the watches.
    void set_mode(Mode mode);
    /// Returns the full list for `viewer`, in the format of the setting `known`.
    std::string list(const std::string& viewer);
    std::uint64_t calls();
    std::size_t watches();

private:
    struct Viewer {
        std::string name;
        Tcp::acceptor acceptor;
    };
    struct Watch {
        asio::steady_timer changed;
    };
    Task accept(Viewer& viewer);
    Task serve(Viewer& viewer, std::shared_ptr<Tcp::socket> socket);
    /// Returns the list for that viewer: the changes since version `from`, or the full list.
    std::string body(const std::string& viewer, std::uint64_t from) const;
    void record_change(std::string id);
    void wake_watches();

    Worker worker_;
    AddressOf address_of_;
    Millis service_, max_wait_;
    Mode mode_ = Mode::up;
    Millis stepped_by_ = 0;  ///< Offset of the servers' wall clocks from this machine's.
    std::uint64_t version_ = 0, calls_ = 0;
    std::map<std::string, Entry> entries_;
    std::map<std::string, std::uint64_t> changed_at_;  ///< Version of the last change, by server.
    std::list<Viewer> viewers_;
    std::list<Watch*> watches_;
    std::list<std::weak_ptr<Tcp::socket>> open_;
    std::chrono::steady_clock::time_point free_at_{};
};

}  // namespace mothring::lab
