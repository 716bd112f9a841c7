#include "node/upstream_exchange.hpp"

#include <utility>

#include "node/upstream_connection.hpp"

namespace mothring::node {

UpstreamExchange::UpstreamExchange(std::shared_ptr<UpstreamConnection> connection, ExchangeId id,
                                   UpstreamRequest request, Callbacks callbacks)
    : connection_(std::move(connection)),
      id_(id),
      request_(std::move(request)),
      callbacks_(std::move(callbacks)),
      writer_(*this),
      reader_(*this) {}

bool UpstreamExchange::is_in_progress() const { return !is_ended_ && connection_->is_open(); }

void UpstreamExchange::fail(bool may_have_run) {
    end(ConnectionUse::closed, may_have_run ? Outcome::connection_lost : Outcome::connect_failed, {});
}

void UpstreamExchange::end(ConnectionUse use, Outcome outcome, UpstreamResponse response) {
    connection_->end_exchange(use, outcome, std::move(response));
}

std::shared_ptr<net::BodyBuffer> UpstreamExchange::detach_bodies() {
    is_ended_ = true;
    if (request_.body) request_.body->on_readable = nullptr;
    return reader_.release_body();
}

}  // namespace mothring::node
