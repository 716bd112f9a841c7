/// @file
/// Parsing of the lines that the simulator sends.
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

/// Reports a line that can't be read; what() names the line, the message and the field.
using WireError = FieldError;

/// A parsed line: the kind of the message and its name=value fields. It refers to the text of the line. The
/// accessors of fields throw WireError.
class Message : public Fields {
public:
    /// @param line  must outlive this.
    /// @param line_number  named in errors.
    /// @throws WireError if the line is empty or a field is not name=value.
    Message(std::string_view line, std::size_t line_number);

    std::string_view kind() const { return kind_; }
    std::optional<std::string_view> find(std::string_view field) const override;
    std::string location() const override;

private:
    std::string_view kind_;
    std::size_t line_number_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

/// Reads the outcome of an attempt or a health check.
Outcome read_outcome(const Message& message);
/// Reads the kind of a list of servers.
ListKind read_list_kind(const Message& message);
/// Reads the state in which a server is listed.
EndpointState read_endpoint_state(const Message& message);
/// Reads a field of bytes in hexadecimal digits; "-" stands for no bytes.
std::vector<std::uint8_t> read_bytes(const Message& message, std::string_view field);

}  // namespace mothring::wire
