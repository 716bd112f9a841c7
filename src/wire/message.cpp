#include "wire/message.hpp"

#include <charconv>
#include <system_error>

namespace mothring::wire {

namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kDigitsPerByte = 2;

const Fields::Names<EndpointState> endpoint_state_names{
    {"on", EndpointState::active}, {"fading", EndpointState::draining}, {"off", EndpointState::removed}};
const Fields::Names<ListKind> list_kind_names{{"INCREMENTAL", ListKind::incremental},
                                              {"FULL", ListKind::full},
                                              {"SAVED", ListKind::cached},
                                              {"FAILED", ListKind::failed}};
const Fields::Names<Outcome> outcome_names{
    {"completed", Outcome::completed},         {"errored", Outcome::failed},
    {"saturated", Outcome::overloaded},        {"overdue", Outcome::timed_out},
    {"refused_conn", Outcome::connect_failed}, {"severed", Outcome::connection_lost},
    {"recalled", Outcome::cancelled},          {"superseded", Outcome::not_sent}};

// Removes the next word and the space behind it from the text, and returns the word.
std::string_view take_word(std::string_view& rest) {
    const auto space = rest.find(' ');
    const std::string_view word = rest.substr(0, space);
    rest = space == std::string_view::npos ? std::string_view() : rest.substr(space + 1);
    return word;
}

}  // namespace

Message::Message(std::string_view line, std::size_t line_number) : line_number_(line_number) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    std::string_view rest = line;
    kind_ = take_word(rest);
    if (kind_.empty()) throw WireError("line " + std::to_string(line_number_) + ": empty line");
    while (!rest.empty()) {
        const std::string_view pair = take_word(rest);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) fail(pair, "is not name=value");
        fields_.emplace_back(pair.substr(0, equals), pair.substr(equals + 1));
    }
}

std::string Message::location() const {
    return "line " + std::to_string(line_number_) + ": " + std::string(kind_);
}

std::optional<std::string_view> Message::find(std::string_view field) const {
    for (const auto& [name, value] : fields_)
        if (name == field) return value;
    return std::nullopt;
}

Outcome read_outcome(const Message& message) { return message.named("rc", outcome_names); }

ListKind read_list_kind(const Message& message) { return message.named("mode", list_kind_names); }

EndpointState read_endpoint_state(const Message& message) {
    return message.named("phase", endpoint_state_names);
}

std::vector<std::uint8_t> read_bytes(const Message& message, std::string_view field) {
    std::vector<std::uint8_t> bytes;
    const std::string_view digits = message.text(field);
    if (digits == "-") return bytes;
    if (digits.size() % kDigitsPerByte != 0) message.fail(field, "is not a sequence of hexadecimal bytes");
    for (std::size_t i = 0; i < digits.size(); i += kDigitsPerByte) {
        const char* const begin = digits.data() + i;
        std::uint8_t byte = 0;
        const auto [end, error] = std::from_chars(begin, begin + kDigitsPerByte, byte, kHexBase);
        if (error != std::errc() || end != begin + kDigitsPerByte)
            message.fail(field, "is not a sequence of hexadecimal bytes");
        bytes.push_back(byte);
    }
    return bytes;
}

}  // namespace mothring::wire
