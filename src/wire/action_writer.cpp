#include "wire/action_writer.hpp"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace mothring::wire {

namespace {

constexpr std::size_t kMaxNumberLength = 40;
constexpr int kTimeDecimals = 3;  // of a time in milliseconds
constexpr unsigned kHexDigitBits = 4;
constexpr unsigned kHexDigitMask = 15;

void append_number(std::string& line, double value) {
    char buffer[kMaxNumberLength];
    const auto result =
        std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, kTimeDecimals);
    line.append(buffer, result.ptr);
}

void append_hex(std::string& line, const std::vector<std::uint8_t>& bytes) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    if (bytes.empty()) line += '-';
    for (const std::uint8_t byte : bytes) {
        line += kDigits[byte >> kHexDigitBits];
        line += kDigits[byte & kHexDigitMask];
    }
}

// Writes one action without the line break.
class ActionWriter {
public:
    ActionWriter(Instance& instance, std::string& reply) : instance_(instance), reply_(reply) {}

    void operator()(const SendAttempt& action) {
        request("DISPATCH", action.id);
        server(action.server);
        time("try-until-ms", action.deadline);
        ++instance_.requests.at(action.id).in_flight;
        ++instance_.servers.at(action.server).in_flight;
    }
    void operator()(const CancelAttempt& action) {
        request("ABANDON", action.id);
        reply_ += " hop=" + std::to_string(action.attempt);
    }
    void operator()(const RejectRequest& action) {
        request("DECLINE", action.id);
        if (action.retry_after > 0) time("retry-in-ms", action.retry_after);
        instance_.end_request(action.id);
    }
    void operator()(const FailRequest& action) {
        request("GIVE_UP", action.id);
        instance_.end_request(action.id);
    }
    void operator()(const SetTimer& action) {
        begin_action("AFTER");
        time("at-ms", action.at);
        reply_ += " nonce=" + std::to_string(action.token);
    }
    void operator()(const HealthCheck& action) {
        begin_action("ASK_LOAD");
        server(action.server);
    }
    void operator()(const CloseIdleConnections& action) {
        begin_action("SHUT_IDLE");
        server(action.server);
    }
    void operator()(const SendToPeer& action) {
        begin_action("WRITE_PEER");
        reply_ += " dst=" + (action.to ? std::to_string(*action.to) : std::string("all")) + " msg=";
        append_hex(reply_, action.bytes);
    }
    void operator()(const Subscribe& action) {
        begin_action("SUBSCRIBE");
        reply_ += action.active ? " active=1" : " active=0";
    }
    void operator()(const EndpointEjected& action) { print(action.server, "removed from the pool"); }
    void operator()(const EndpointRestored& action) { print(action.server, "restored after a trial"); }

private:
    void begin_action(std::string_view kind) {
        reply_ += kind;
        reply_ += " who=" + instance_.name;
    }
    void request(std::string_view kind, RequestId id) {
        begin_action(kind);
        reply_ += " rid=" + instance_.requests.at(id).name;
    }
    void server(ServerId id) { reply_ += " server=" + instance_.servers.at(id).name; }
    void time(std::string_view field, Millis value) {
        reply_ += ' ';
        reply_ += field;
        reply_ += '=';
        append_number(reply_, value);
    }
    void print(ServerId id, std::string_view words) {
        begin_action("PRINT");
        reply_ += " words=" + instance_.servers.at(id).name + " ";
        reply_ += words;
    }

    Instance& instance_;
    std::string& reply_;
};

}  // namespace

void write_action(Instance& instance, const Action& action, std::string& reply) {
    std::visit(ActionWriter(instance, reply), action);
    reply += '\n';
}

}  // namespace mothring::wire
