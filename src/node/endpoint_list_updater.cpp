#include "node/endpoint_list_updater.hpp"

#include <utility>
#include <vector>

#include "net/log.hpp"

namespace mothring::node {

namespace {

void log_list(const config::DiscoveryList& list) {
    if (!net::is_logged(net::LogLevel::debug)) return;
    net::LogFields leaving = net::LogFields::array();
    for (const config::DiscoveredServer& server : list.members)
        if (server.state != EndpointState::active) leaving.push_back(server.id);
    net::log(net::LogLevel::debug, "list.changed",
             {{"version", list.version},
              {"full", list.full},
              {"entries", list.members.size()},
              {"leaving", std::move(leaving)}});
}

}  // namespace

EndpointListUpdater::EndpointListUpdater(boost::asio::io_context& io, const config::Config& config,
                                         const net::Clock& clock, EventLoop& loop,
                                         EndpointDirectory& endpoints, std::function<void()> on_updated)
    : clock_(clock),
      loop_(loop),
      endpoints_(endpoints),
      on_updated_(std::move(on_updated)),
      discovery_(io, config.discovery, config.known.version, !config.site.settings.must_subscribe,
                 config.drain_grace,
                 {[this](const config::DiscoveryList& list) {
                      update(list.full ? ListKind::full : ListKind::incremental, list);
                  },
                  [this](const Discovery::Failure& failure) { report_failure(failure); }}) {}

void EndpointListUpdater::change_address(const net::Tcp::endpoint& address) {
    address_changed_at_ = clock_.now();
    discovery_.change_address(address);
}

void EndpointListUpdater::update(ListKind kind, const config::DiscoveryList& list) {
    log_list(list);
    EndpointList event = endpoints_.update(kind, list, moment_of(kind));
    const std::vector<ServerId> affected = endpoints_.affected_by(event);
    loop_.handle(std::move(event));
    for (const ServerId id : affected) endpoints_.erase_if_unused(id);
    if (kind != ListKind::cached) on_updated_();
}

void EndpointListUpdater::report_failure(const Discovery::Failure& failure) {
    loop_.handle(
        EndpointList{ListKind::failed, {}, failure.notified_within, failure.kind, failure.retry_after});
}

/// A server that appears in a watched list started after the previous response, which bounds its age. A
/// cached list may be old, and responses from a previous address of discovery came from another list, so
/// neither bounds an age.
ServerStartTimes::Moment EndpointListUpdater::moment_of(ListKind kind) const {
    ServerStartTimes::Moment moment{clock_.now(), clock_.wall_time(), {}};
    if (kind == ListKind::cached) return moment;
    moment.since_response = discovery_.state().previous_age;
    if (address_changed_at_ && moment.since_response > moment.now - *address_changed_at_)
        moment.since_response.reset();
    return moment;
}

}  // namespace mothring::node
