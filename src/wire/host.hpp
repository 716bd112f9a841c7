/// @file
/// The simulator's wire: runs one Balancer for each simulated sidecar. It decides nothing; the decisions are
/// in src/policy/.
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

/// A server in a list of the simulator's.
struct CatalogEntry {
    std::string server;
    std::string zone;
    std::string kind;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::active;
    Millis started_at = 0;
};

/// Reads batches of events, and answers each with the actions that follow from it.
class Host {
public:
    /// All streams must outlive this.
    Host(std::istream& input, std::ostream& output, std::ostream& errors);

    /// Runs until the end of input.
    /// @return the process's exit status.
    int run();

private:
    static constexpr std::size_t kCatalogs = 16;

    /// Reads the event of one kind.
    using EventReader = void (Host::*)(Instance&, const Message&);
    /// Null: not known.
    static EventReader reader_of(std::string_view kind);

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

    EndpointList take_catalog(Instance& instance, const Message& message, ListKind kind);
    void handle(Instance& instance, const Event& event);
    void report_fault(const std::string& instance_name, const char* what);

    std::istream& in_;
    std::ostream& out_;
    std::ostream& err_;
    std::size_t line_ = 0;
    Millis now_ = 0;
    std::string reply_;
    std::array<std::vector<CatalogEntry>, kCatalogs> catalogs_;
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::string> unknown_kinds_;
    std::vector<Action> actions_;
};

}  // namespace mothring::wire
