#include "node/request_parser.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace mothring::node::downstream {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr boost::beast::string_view kScheme = "http://";

bool begins_with_line_end(const boost::beast::flat_buffer& buffer) {
    const char first = *static_cast<const char*>(buffer.data().data());
    return first == '\r' || first == '\n';
}

RequestParser::Result result_of(error_code error) {
    if (!error || error == http::error::need_buffer) return RequestParser::Result::progressed;
    if (error == http::error::need_more) return RequestParser::Result::needs_more;
    if (error == http::error::body_limit) return RequestParser::Result::body_too_large;
    return RequestParser::Result::malformed;
}

}  // namespace

boost::asio::mutable_buffer RequestParser::prepare(std::size_t max_bytes) {
    const std::size_t space = buffer_.max_size() - buffer_.size();
    return buffer_.prepare(std::min(space, max_bytes));
}

bool RequestParser::skip_line_ends() {
    while (buffer_.size() > 0 && begins_with_line_end(buffer_)) buffer_.consume(1);
    return buffer_.size() > 0;
}

void RequestParser::start_request() {
    parser_.emplace();
    parser_->header_limit(net::kMaxHeaderBytes);
    parser_->body_limit(net::kMaxForwardedBodyBytes);
}

RequestParser::Step RequestParser::parse(net::BodyBuffer* body) {
    auto& part = parser_->get().body();
    std::size_t free_space_before = 0;
    if (body != nullptr) {
        free_space_before = body->free_space();
        part.size = free_space_before;
        part.data = body->write_pointer();
        part.more = true;
    }
    const bool was_in_head = !parser_->is_header_done();
    parser_->eager(!was_in_head);
    Step step;
    error_code error;
    step.bytes = parser_->put(buffer_.data(), error);
    buffer_.consume(step.bytes);
    step.result = result_of(error);
    step.body_bytes = body != nullptr ? free_space_before - part.size : 0;
    step.completes_head = was_in_head && parser_->is_header_done();
    return step;
}

std::optional<std::uint64_t> RequestParser::content_length() const {
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::optional<http::status> RequestParser::head_error() const {
    if (!has_valid_framing() || http_version() > kHttp11) return http::status::bad_request;
    const auto length = content_length();
    if (length && *length > net::kMaxForwardedBodyBytes) return http::status::payload_too_large;
    return std::nullopt;
}

// Returns whether the end of the body can be determined. Beast itself rejects two lengths, and a length
// together with chunked coding; with any other transfer coding the end would be unknown.
bool RequestParser::has_valid_framing() const {
    const auto& head = parser_->get();
    const std::size_t codings = head.count(http::field::transfer_encoding);
    if (codings == 0) return true;
    return codings == 1 && head.count(http::field::content_length) == 0 && head.version() == kHttp11 &&
           boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

RequestHead RequestParser::take_head() {
    RequestHead head;
    static_cast<RequestHead::header_type&>(head) = std::move(parser_->get().base());
    const std::string target(head.target());
    if (boost::beast::string_view(target).starts_with(kScheme)) {
        const auto path_at = target.find('/', kScheme.size());
        head.target(path_at == std::string::npos ? "/" : target.substr(path_at));
    }
    return head;
}

}  // namespace mothring::node::downstream
