#include "lab/fleet_sim.hpp"

#include <algorithm>

namespace mothring::lab {

using cluster::Effects;

namespace {

constexpr Millis kMinDelay = 0.1, kMaxDelay = 1;  // limits of a datagram's delay

}  // namespace

FleetSim::FleetSim(std::size_t members, const cluster::Parameters& parameters, double loss,
                   std::uint64_t seed)
    : parameters_(parameters), loss_(loss), random_(seed), nodes_(members) {
    for (std::size_t i = 0; i < members; ++i) start_member(i);
    for (std::size_t i = 1; i < members; ++i) join(i, 0);
}

void FleetSim::start_member(std::size_t i) {
    cluster::Claim self;
    self.name = name(i);
    self.udp = self.tcp = "127.0.0.1:" + std::to_string(20000 + i);
    self.version = "1.0.0";
    self.instance_id = ++nodes_[i].instance_id;
    self.incarnation = static_cast<std::uint64_t>(now_);
    nodes_[i].membership = std::make_unique<Membership>(self, parameters_, random_());
    nodes_[i].codec = std::make_unique<cluster::Codec>("a simulated fleet", self.name, self.instance_id);
    nodes_[i].paused = false;
    nodes_[i].unread.clear();
    Effects effects;
    at(i).tick(now_, effects);
    apply(i, effects);
    schedule_tick(i);
}

void FleetSim::join(std::size_t i, std::size_t by) {
    schedule(0, [this, i, by] { sync(i, by); });
}

void FleetSim::kill(std::size_t i) { nodes_[i].membership.reset(); }

void FleetSim::restart(std::size_t i) {
    start_member(i);
    join(i, i == 0 ? 1 : 0);
}

void FleetSim::resume(std::size_t i) {
    nodes_[i].paused = false;
    auto unread = std::exchange(nodes_[i].unread, {});
    for (auto& [address, message] : unread) {
        Effects effects;
        at(i).receive(now_, message, address, effects);
        apply(i, effects);
    }
    schedule_tick(i);
}

void FleetSim::schedule_tick(std::size_t i) {
    const Millis at = std::max(now_, nodes_[i].membership->next());
    schedule_.push({at, order_++, [this, i, instance_id = nodes_[i].instance_id] {
                        Node& node = nodes_[i];
                        if (!node.membership || node.instance_id != instance_id || node.paused) return;
                        if (node.membership->next() > now_)
                            return;  // the tick was postponed, which scheduled another action
                        Effects effects;
                        node.membership->tick(now_, effects);
                        apply(i, effects);
                        schedule_tick(i);
                    }});
}

void FleetSim::apply(std::size_t i, const Effects& effects) {
    for (const auto& change : effects.changes) seen.push_back({now_, i, change});
    for (const auto& send : effects.sends) {
        const std::size_t to = index(send.to);
        bytes += nodes_[i].codec->seal(send.message).size();
        if (!passes(i, to) || std::uniform_real_distribution<double>(0, 1)(random_) < loss_) continue;
        schedule(std::uniform_real_distribution<double>(kMinDelay, kMaxDelay)(random_),
                 [this, i, to, message = send.message] {
                     Node& node = nodes_[to];
                     if (!node.membership) return;
                     if (node.paused) {
                         node.unread.emplace_back(name(i), message);
                         return;
                     }
                     Effects more;
                     node.membership->receive(now_, message, name(i), more);
                     apply(to, more);
                     schedule_tick(to);
                 });
    }
    for (const std::string& other : effects.syncs)
        schedule(kMaxDelay, [this, i, to = index(other)] { sync(i, to); });
}

void FleetSim::sync(std::size_t a, std::size_t b) {
    Node &from = nodes_[a], &to = nodes_[b];
    if (!from.membership || !to.membership || from.paused || to.paused || !passes(a, b) || !passes(b, a))
        return;
    const bool same = from.membership->digest() == to.membership->digest();
    const auto offered = from.membership->members(), answered = to.membership->members();
    bytes += from.codec->seal(cluster::Sync{name(a), 1, false, {}}).size() +
             to.codec->seal(cluster::Sync{name(b), 1, !same, same ? decltype(offered){} : answered}).size();
    if (same) return;
    bytes += from.codec->seal(cluster::Sync{name(a), 1, true, offered}).size();
    Effects here, there;
    from.membership->merge(now_, answered, name(b), here);
    to.membership->merge(now_, offered, name(a), there);
    apply(a, here);
    apply(b, there);
    schedule_tick(a);
    schedule_tick(b);
}

void FleetSim::run(Millis length) {
    const Millis end = now_ + length;
    while (!schedule_.empty() && schedule_.top().at <= end) {
        now_ = std::max(now_, schedule_.top().at);
        const auto action = schedule_.top().action;
        schedule_.pop();
        action();
    }
    now_ = end;
}

}  // namespace mothring::lab
