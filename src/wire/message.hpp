/// @file
/// The lines that the simulator sends, as messages with named fields.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/site.hpp"

namespace mothring::wire {

/// A line that can't be read; what() names the line, the message and the field.
using WireError = FieldError;

/// One line taken apart: the message's kind and its name=value pairs. Refers to the text of the line. The
/// access to fields throws WireError.
class Message : public Fields {
public:
    /// @param line  must outlive this.
    /// @param number  of the line, for errors.
    /// @throws WireError where the line is empty or a field has no name or value.
    Message(std::string_view line, std::size_t number);

    std::string_view kind() const { return kind_; }
    std::optional<std::string_view> find(std::string_view field) const override;
    std::string place() const override;

private:
    std::string_view kind_;
    std::size_t line_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

/// The field that says how an attempt or a health check ended.
Outcome read_outcome(const Message& message);
/// The field that says what a list of servers holds.
ListKind read_list_kind(const Message& message);
/// The field that says in which state a server is listed.
EndpointState read_endpoint_state(const Message& message);
/// A field of bytes in hexadecimal digits; "-": none.
std::vector<std::uint8_t> read_bytes(const Message& message, std::string_view field);

}  // namespace mothring::wire
