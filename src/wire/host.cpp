#include "wire/host.hpp"

#include <algorithm>
#include <exception>
#include <istream>
#include <ostream>
#include <utility>

#include "wire/action_writer.hpp"

namespace mothring::wire {

namespace {

constexpr int kExitInvalidInput = 2;

}  // namespace

Host::Host(std::istream& input, std::ostream& output, std::ostream& errors)
    : input_(input), output_(output), errors_(errors) {}

bool Host::next_line(std::string& line) {
    if (!std::getline(input_, line)) return false;
    ++line_number_;
    return true;
}

int Host::run() {
    try {
        std::string line;
        while (next_line(line)) {
            const Message mark(line, line_number_);
            if (mark.kind() != "MARK") mark.fail(mark.kind(), "was received instead of MARK");
            read_batch(mark);
        }
    } catch (const WireError& error) {
        errors_ << "mothring_adapter: " << error.what() << '\n';
        return kExitInvalidInput;
    }
    return 0;
}

void Host::read_batch(const Message& mark) {
    now_ = mark.number("now-ms");
    const std::uint64_t frame = mark.integer("frame");
    reply_.clear();
    std::string line;
    while (true) {
        if (!next_line(line))
            throw WireError("line " + std::to_string(line_number_) +
                            ": MARK: input ends before 'OVER_TO_YOU'");
        const Message message(line, line_number_);
        if (message.kind() == "OVER_TO_YOU") break;
        read_event(message);
    }
    output_ << reply_ << "END frame=" << frame << '\n' << std::flush;
}

void Host::read_event(const Message& message) {
    const std::string_view kind = message.kind();
    if (kind == "CATALOG") {
        read_catalog(message);
        return;
    }
    if (kind == "START") {
        start_instance(message);
        return;
    }
    const EventReader reader = find_reader(kind);
    if (!reader) {
        report_unknown_kind(kind);
        return;
    }
    const auto at = instances_.find(message.text("who"));
    if (at == instances_.end()) message.fail("who", "names an instance that is not running");
    (this->*reader)(at->second, message);
}

Host::EventReader Host::find_reader(std::string_view kind) {
    static const std::map<std::string_view, EventReader> readers{
        {"POWER_OFF", &Host::stop_instance}, {"PEERS_KNOWN", &Host::read_list},
        {"ACCEPT", &Host::read_request},     {"HEAD_RECEIVED", &Host::read_response_start},
        {"EXPIRED", &Host::read_disconnect}, {"VERDICT", &Host::read_attempt_end},
        {"TICK_DUE", &Host::read_timer},     {"HEALTH", &Host::read_health_check},
        {"MEMO", &Host::read_peer_message}};
    const auto at = readers.find(kind);
    return at == readers.end() ? nullptr : at->second;
}

// Reports each unknown kind only once.
void Host::report_unknown_kind(std::string_view kind) {
    if (std::find(unknown_kinds_.begin(), unknown_kinds_.end(), kind) != unknown_kinds_.end()) return;
    unknown_kinds_.emplace_back(kind);
    errors_ << "mothring_adapter: line " << line_number_ << ": unknown event " << kind << " skipped\n";
}

// Events of the host

void Host::read_catalog(const Message& message) {
    const std::size_t number = read_catalog_number(message);
    const std::uint64_t count = message.integer("items");
    std::vector<CatalogEntry> entries;
    for (std::uint64_t i = 0; i < count; ++i) entries.push_back(read_catalog_entry());
    catalogs_[number] = std::move(entries);
}

CatalogEntry Host::read_catalog_entry() {
    std::string line;
    if (!next_line(line))
        throw WireError("line " + std::to_string(line_number_) + ": CATALOG: input ends within 'items'");
    const Message message(line, line_number_);
    if (message.kind() != "M") message.fail("items", "does not match the entries that follow");
    CatalogEntry entry;
    entry.server = message.text("server");
    if (message.has("rack-zone")) entry.zone = message.text("rack-zone");
    if (message.has("kind")) entry.kind = message.text("kind");
    entry.cell = static_cast<std::uint32_t>(message.integer_or("pod", 0));
    entry.state = read_endpoint_state(message);
    entry.started_at = message.number_or("online-since-ms", 0);
    return entry;
}

std::size_t Host::read_catalog_number(const Message& message) const {
    const std::uint64_t number = message.integer("ref");
    if (number >= catalogs_.size()) message.fail("ref", "is out of range");
    return number;
}

void Host::start_instance(const Message& message) {
    const std::string name(message.text("who"));
    const std::uint64_t seed = message.integer("entropy");
    instances_.erase(name);
    try {
        const auto at = instances_.try_emplace(name, name, read_site(message), seed).first;
        handle(at->second, Started{});
    } catch (const std::exception& error) {  // the settings can't be read or are invalid
        report_fault(name, error.what());
    }
}

// Events of an instance

void Host::stop_instance(Instance& instance, const Message& /*message*/) {
    instances_.erase(instances_.find(instance.name));
}

void Host::read_list(Instance& instance, const Message& message) {
    const ListKind kind = read_list_kind(message);
    if (kind == ListKind::failed) {
        handle(instance, EndpointList{kind, {}});
        return;
    }
    handle(instance, build_endpoint_list(instance, message, kind));
    instance.remove_unused_servers();
}

EndpointList Host::build_endpoint_list(Instance& instance, const Message& message, ListKind kind) {
    EndpointList list{kind, {}};
    const std::size_t number = read_catalog_number(message);
    if (kind != ListKind::incremental)
        for (auto& [id, server] : instance.servers) server.listed = false;
    for (const CatalogEntry& entry : catalogs_[number]) {
        const ServerId id = instance.server_id(entry.server);
        instance.servers[id].listed = entry.state != EndpointState::removed;
        list.servers.push_back({id, instance.site.zone(entry.zone), entry.cell, entry.state, entry.started_at,
                                instance.site.kind(entry.kind)});
    }
    return list;
}

void Host::read_request(Instance& instance, const Message& message) {
    RequestArrived arrived;
    arrived.time_left = message.number("time-left-ms");
    arrived.effort = message.number_or("effort-ms", 0);
    arrived.is_retry = message.flag_or("repeat", false);
    arrived.class_index = instance.site.class_index(message.text("grade"));
    if (message.has("realm")) arrived.tenant = instance.site.tenant_index(message.text("realm"));
    const std::string name(message.text("rid"));
    const auto [at, is_new] = instance.request_ids.try_emplace(name, instance.next_request);
    if (!is_new) message.fail("rid", "is already in use");
    arrived.id = at->second;
    instance.requests[instance.next_request++].name = name;
    handle(instance, arrived);
}

void Host::read_response_start(Instance& instance, const Message& message) {
    const auto request = instance.request_ids.find(std::string(message.text("rid")));
    const auto attempt = static_cast<std::uint32_t>(message.integer("hop"));
    if (request == instance.request_ids.end()) return;  // the instance has already ended the request
    handle(instance, ResponseStarted{request->second, attempt});
}

void Host::read_disconnect(Instance& instance, const Message& message) {
    const auto request = instance.request_ids.find(std::string(message.text("rid")));
    if (request == instance.request_ids.end()) return;  // the instance has already ended the request
    const RequestId id = request->second;
    handle(instance, ClientDisconnected{id});
    instance.end_request(id);
}

void Host::read_attempt_end(Instance& instance, const Message& message) {
    AttemptEnded ended;
    ended.attempt = static_cast<std::uint32_t>(message.integer("hop"));
    ended.outcome = read_outcome(message);
    ended.duration = message.number_or("duration-ms", 0);
    ended.request_ended = message.flag_or("terminal", false);
    const auto server_at = instance.server_ids.find(std::string(message.text("server")));
    const auto request_at = instance.request_ids.find(std::string(message.text("rid")));
    if (request_at == instance.request_ids.end()) return;
    ended.id = request_at->second;
    Instance::Request& request = instance.requests.at(ended.id);
    if (request.in_flight > 0) --request.in_flight;
    if (ended.request_ended) request.ended = true;
    handle(instance, ended);
    instance.remove_request_if_finished(ended.id);
    if (server_at == instance.server_ids.end()) return;
    const ServerId server_id = server_at->second;
    Instance::Server& server = instance.servers.at(server_id);
    if (server.in_flight > 0) --server.in_flight;
    instance.remove_server_if_unused(server_id);
}

void Host::read_timer(Instance& instance, const Message& message) {
    handle(instance, TimerFired{message.integer("nonce")});
}

void Host::read_health_check(Instance& instance, const Message& message) {
    const auto server = instance.server_ids.find(std::string(message.text("server")));
    const bool is_known = server != instance.server_ids.end();
    const HealthCheckEnded ended{is_known ? server->second : 0, read_outcome(message),
                                 message.number_or("duration-ms", 0)};
    if (is_known) handle(instance, ended);
}

void Host::read_peer_message(Instance& instance, const Message& message) {
    const auto sender = static_cast<std::uint32_t>(message.integer("src-peer"));
    handle(instance, PeerMessage{sender, read_bytes(message, "msg")});
}

// Actions

void Host::handle(Instance& instance, const Event& event) {
    actions_.clear();
    try {
        instance.balancer.handle(now_, event, actions_);
    } catch (const std::exception& error) {
        report_fault(instance.name, error.what());
        return;
    }
    for (const Action& action : actions_) write_action(instance, action, reply_);
}

void Host::report_fault(const std::string& instance_name, const char* reason) {
    reply_ += "FAULT who=" + instance_name + " words=" + reason + "\n";
}

}  // namespace mothring::wire
