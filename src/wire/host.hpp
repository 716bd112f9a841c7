/// @file
/// The adapter between the simulator's line protocol and the balancer. It runs one Balancer for each
/// simulated sidecar, and makes no load-balancing decisions itself; these are in src/policy/.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mothring/balancer.hpp"
#include "wire/instance.hpp"
#include "wire/message.hpp"

namespace mothring::wire {

/// A server in one of the simulator's server lists.
struct CatalogEntry {
    std::string server;
    std::string zone;
    std::string kind;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::active;
    Millis started_at = 0;
};

/// Reads batches of events, and answers each batch with the actions that result from it.
class Host {
public:
    /// @param input, output, errors  must outlive this.
    Host(std::istream& input, std::ostream& output, std::ostream& errors);

    /// Runs until the end of input.
    /// @return the exit status of the process.
    int run();

private:
    /// The number of server lists that the simulator can refer to.
    static constexpr std::size_t kCatalogCount = 16;

    /// Reads an event of a certain kind and passes it to the instance.
    using EventReader = void (Host::*)(Instance&, const Message&);
    /// Returns the reader for a kind of event, or null if the kind is unknown.
    static EventReader find_reader(std::string_view kind);

    bool next_line(std::string& line);
    void read_batch(const Message& mark);
    void read_event(const Message& message);
    void report_unknown_kind(std::string_view kind);

    // Events of the host
    void read_catalog(const Message& message);
    CatalogEntry read_catalog_entry();
    std::size_t read_catalog_number(const Message& message) const;
    void start_instance(const Message& message);

    // Events of an instance
    void stop_instance(Instance& instance, const Message& message);
    void read_list(Instance& instance, const Message& message);
    void read_request(Instance& instance, const Message& message);
    void read_response_start(Instance& instance, const Message& message);
    void read_disconnect(Instance& instance, const Message& message);
    void read_attempt_end(Instance& instance, const Message& message);
    void read_timer(Instance& instance, const Message& message);
    void read_health_check(Instance& instance, const Message& message);
    void read_peer_message(Instance& instance, const Message& message);

    EndpointList build_endpoint_list(Instance& instance, const Message& message, ListKind kind);
    void handle(Instance& instance, const Event& event);
    void report_fault(const std::string& instance_name, const char* reason);

    std::istream& input_;
    std::ostream& output_;
    std::ostream& errors_;
    std::size_t line_number_ = 0;
    Millis now_ = 0;
    std::string reply_;
    std::array<std::vector<CatalogEntry>, kCatalogCount> catalogs_;
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::string> unknown_kinds_;
    std::vector<Action> actions_;
};

}  // namespace mothring::wire
