/// @file
/// Sends the request of an exchange to the server.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>

#include "net/message_writer.hpp"

namespace mothring::node {

class UpstreamExchange;

/// Writes the head of a request and then its body as the body arrives. Records at each step how much of the
/// request has been sent, because the outcome of a failed attempt depends on it.
class UpstreamRequestWriter {
public:
    /// @param exchange  owns this writer.
    explicit UpstreamRequestWriter(UpstreamExchange& exchange) : exchange_(exchange) {}

    /// Starts writing. The connection must be established.
    void start();

    /// Returns whether the first byte may have been sent.
    bool has_started() const { return has_started_; }
    /// Returns whether the complete request has been handed to the kernel.
    bool is_written() const { return is_written_; }

private:
    void write_complete();
    void write_head();
    void write_body();
    void write_body_part(boost::asio::const_buffer part);
    void write(net::WriteStep step, std::size_t body_bytes);
    void write_when_writable(net::WriteStep step, std::size_t body_bytes);
    void on_written(std::size_t body_bytes);

    UpstreamExchange& exchange_;
    bool has_started_ = false;
    bool is_writing_ = false;
    bool is_last_part_submitted_ =
        false;  // whether the last bytes of the request are being or have been written
    bool is_written_ = false;
};

}  // namespace mothring::node
