// The stand-in for discovery, written from PROTOCOL, "Discovery": GET /catalog/members, watches with `from`
// and `hold_ms`, versions, full lists and lists of changes, calls handled in turn, 503 or resets when down.
// One thread. Each sidecar calls at a listener of its own, so that `addr` may differ between them.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/asio.hpp"

namespace mothring::lab {

class DiscoveryStandIn {
public:
    struct Entry {
        std::string id, zone, kind = "standard";
        std::uint32_t cell = 0;
        std::string state = "Ready";  // Terminating, Gone
        std::uint64_t started_ms = 0;
    };
    enum class Mode { up, refusing, resetting };
    // Where `viewer` reaches the server.
    using AddressOf = std::function<Tcp::endpoint(const std::string& viewer, const std::string& server)>;

    // `service`: the time one call takes; calls take turns, and one that would wait for longer than
    // `patience` gets 503.
    DiscoveryStandIn(AddressOf address_of, Millis service = 0.2, Millis patience = 1000);
    ~DiscoveryStandIn();

    // The functions below may be called from any thread.
    Tcp::endpoint add_viewer(const std::string& viewer);
    void put(const std::vector<Entry>& entries);  // new ones, or changed: one version
    void set_state(const std::vector<std::string>& ids, const std::string& state);
    void restarted(const std::string& id);        // started_ms is now, by the servers' wall clocks
    void step_clocks(Millis by);                  // theirs, from now on; forward where above 0
    void set_mode(Mode mode);                     // going down ends the watches
    std::string list(const std::string& viewer);  // the whole of it, as `known`
    std::uint64_t calls();
    std::size_t watches();

private:
    struct Viewer {
        std::string name;
        Tcp::acceptor acceptor;
    };
    struct Waiting {
        asio::steady_timer changed;
    };
    Task accept(Viewer& viewer);
    Task serve(Viewer& viewer, std::shared_ptr<Tcp::socket> socket);
    // The list for that viewer: the changes since `from`, or the whole.
    std::string body(const std::string& viewer, std::uint64_t from) const;
    void changed(std::string id);
    void wake();

    Worker worker_;
    AddressOf address_of_;
    Millis service_, patience_;
    Mode mode_ = Mode::up;
    Millis stepped_by_ = 0;  // the servers' wall clocks against this machine's
    std::uint64_t version_ = 0, calls_ = 0;
    std::map<std::string, Entry> entries_;
    std::map<std::string, std::uint64_t> changed_at_;  // the version that changed it last
    std::list<Viewer> viewers_;
    std::list<Waiting*> waiting_;
    std::list<std::weak_ptr<Tcp::socket>> open_;
    std::chrono::steady_clock::time_point free_at_{};
};

}  // namespace mothring::lab
