#include "wire/message.hpp"

#include <charconv>
#include <system_error>

namespace mothring::wire {

namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kDigitsPerByte = 2;

const Fields::Names<EndpointState> endpoint_states{
    {"on", EndpointState::active}, {"fading", EndpointState::draining}, {"off", EndpointState::removed}};
const Fields::Names<ListKind> list_kinds{{"INCREMENTAL", ListKind::incremental},
                                         {"FULL", ListKind::full},
                                         {"SAVED", ListKind::cached},
                                         {"FAILED", ListKind::failed}};
const Fields::Names<Outcome> outcomes{
    {"completed", Outcome::completed},         {"errored", Outcome::failed},
    {"saturated", Outcome::overloaded},        {"overdue", Outcome::timed_out},
    {"refused_conn", Outcome::connect_failed}, {"severed", Outcome::connection_lost},
    {"recalled", Outcome::cancelled},          {"superseded", Outcome::not_sent}};

// Removes the text up to the next space, and the space, and returns the text.
std::string_view take_word(std::string_view& rest) {
    const auto space = rest.find(' ');
    const std::string_view word = rest.substr(0, space);
    rest = space == std::string_view::npos ? std::string_view() : rest.substr(space + 1);
    return word;
}

}  // namespace

Message::Message(std::string_view line, std::size_t number) : line_(number) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    std::string_view rest = line;
    kind_ = take_word(rest);
    if (kind_.empty()) throw WireError("line " + std::to_string(line_) + ": empty line");
    while (!rest.empty()) {
        const std::string_view pair = take_word(rest);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) fail(pair, "is not name=value");
        fields_.emplace_back(pair.substr(0, equals), pair.substr(equals + 1));
    }
}

std::string Message::place() const { return "line " + std::to_string(line_) + ": " + std::string(kind_); }

std::optional<std::string_view> Message::find(std::string_view field) const {
    for (const auto& [name, value] : fields_)
        if (name == field) return value;
    return std::nullopt;
}

Outcome read_outcome(const Message& message) { return message.named("rc", outcomes); }

ListKind read_list_kind(const Message& message) { return message.named("mode", list_kinds); }

EndpointState read_endpoint_state(const Message& message) { return message.named("phase", endpoint_states); }

std::vector<std::uint8_t> read_bytes(const Message& message, std::string_view field) {
    std::vector<std::uint8_t> bytes;
    const std::string_view digits = message.text(field);
    if (digits == "-") return bytes;
    if (digits.size() % kDigitsPerByte != 0) message.fail(field, "is not hex");
    for (std::size_t i = 0; i < digits.size(); i += kDigitsPerByte) {
        const char* const begin = digits.data() + i;
        std::uint8_t byte = 0;
        const auto [end, error] = std::from_chars(begin, begin + kDigitsPerByte, byte, kHexBase);
        if (error != std::errc() || end != begin + kDigitsPerByte) message.fail(field, "is not hex");
        bytes.push_back(byte);
    }
    return bytes;
}

}  // namespace mothring::wire
