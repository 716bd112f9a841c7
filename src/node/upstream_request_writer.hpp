/// @file
/// Sends the request of an exchange to the server.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>

#include "net/message_writer.hpp"

namespace mothring::node {

class UpstreamExchange;

/// Writes a request whose body may be yet to come, and knows at any time how far the request has been sent.
class UpstreamRequestWriter {
public:
    /// @param exchange  owns this writer.
    explicit UpstreamRequestWriter(UpstreamExchange& exchange) : exchange_(exchange) {}

    /// Starts writing; the connection has to be established.
    void begin();

    /// Whether the first byte may have been sent.
    bool has_begun() const { return has_begun_; }
    /// Whether the last byte has been handed to the kernel.
    bool is_written() const { return is_written_; }

private:
    void write_complete();
    void write_head();
    void write_body();
    void write_body_part(boost::asio::const_buffer part);
    void write(net::WriteStep step, std::size_t body_bytes);
    void write_when_possible(net::WriteStep step, std::size_t body_bytes);
    void on_written(std::size_t body_bytes);

    UpstreamExchange& exchange_;
    bool has_begun_ = false;
    bool is_writing_ = false;
    bool last_part_is_out_ = false;  // what is being written, or has been written, is the last of it
    bool is_written_ = false;
};

}  // namespace mothring::node
