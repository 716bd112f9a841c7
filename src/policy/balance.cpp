// Every decision of mothring. The interface is include/mothring/balancer.hpp.
//
// The path of a request: on(RequestArrived) takes it and sets its timer;
// place() sheds it if it can't be answered any more, looks for room (admission)
// and for a server: one whose backoff is over gets it as half-open trial, else
// pick() draws two live servers of our part of the pool and takes the one with
// fewer of our outstanding requests; dispatch() sends it, to run to the
// client's deadline. If nobody may have it now it is held briefly.
// on(AttemptEnded) books the outcome in the server's window (judge(): removal,
// return, a class's shun) and places the request again or answers it. finish()
// is the only final answer, may_send() and may_refuse() the only gates: no send
// and no refusal leaves without passing them.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "discovery_retry.hpp"
#include "mothring/balancer.hpp"
#include "state.hpp"
#include "support.hpp"

namespace mothring {

namespace {

// The mechanism's own figures: io.l5d.successRate as its authors demonstrated
// it.
constexpr std::size_t kWindow = 20;
constexpr double kThreshold = 0.9;
constexpr Millis kBackoff = 10000;

constexpr Millis kRateMemory =
    5000; // of means and rates: long against gaps, short against a warm-up
constexpr double kSamples =
    kWindow / 2.0; // or this many, where they come sooner
// Servers that a class worth more is confined to are taken by others where they
// answer in so much less time.
constexpr double kLeave = 0.5;
constexpr Millis kMixMemory = 4 * kRateMemory; // of who asks for how much
constexpr double kMixPrior =
    20; // requests that as good as stand in the mix at the shares agreed
constexpr double kHopeless = 1.25; // of what an answer takes: with less time
                                   // left a try is as good as lost
constexpr double kLeastPace =
    0.05; // below this share of the aim, quicker is no better
constexpr double kKindWorth = 3; // answers of its own that weigh as much as
                                 // what is known of a server's kind
// Retry budget: a fifth more attempts than requests in the long run, and this
// many at a stretch.
constexpr double kRetryShare = 0.2, kRetryBurst = 10;
// Admission: attempts out are kept to what brings the mean answer in at this
// share of its aim: more makes the slower answers late and overdrives servers,
// less refuses where service alone takes that long. The bound starts far off,
// moves by a share for the time passed, and leaves kLeast of the demand.
constexpr double kAimShare = 0.46, kRoomAtStart = 1000, kRoomGain = 0.004,
                 kLeast = 0.25;
constexpr double kFeed = 0.7; // of the multiple that fells a cold server; the
                              // rest is for unlike machines
constexpr double kFloor = 4;  // attempts at a server by all sidecars together
                              // that admission always leaves
constexpr double kHold =
    1.0 / 16; // of the aim: what cannot go out by then had better be tried anew
// The part of the room that is there for every class, however little its worth,
// and all that repeats get: a repeat's aim has been running since its first
// try.
constexpr double kCommonRoom = 0.6;
constexpr double kSpare =
    1.25; // of what is out, what the servers can take before they jam
constexpr int kLost = 3; // outcomes out of reach, of any servers of a zone,
                         // after which it is avoided
constexpr Millis kSurvey = 100; // between passes over all servers; a server
                                // warms and fills slower than that
constexpr int kDraws =
    16; // of a server for our part, before what we have must do
constexpr Millis kNever = 1e15;
// A change that a call has missed counts as told this long after discovery had
// it (PROTOCOL, "Figures").
constexpr Millis kToldWithin = 6000;

} // namespace

struct Balancer::Impl {
  Impl(Settings s, std::uint64_t seed)
      : settings(std::move(s)), random(seed),
        discovery_retry(settings.fleet_size) {
    validate(settings);
    for (const RequestClass &c : settings.classes)
      top_worth = std::max(top_worth, c.priority_weight),
      least_aim = std::min(least_aim, c.latency_objective);
  }

  Settings settings;
  Random random;
  Millis now = 0;
  std::vector<Action> *actions = nullptr;
  std::map<ServerId, Server> servers;
  std::unordered_map<RequestId, Request> requests; // never iterated
  std::unordered_map<TimerToken, std::optional<RequestId>>
      timers; // none: the list's
  TimerToken next_token = 1;
  std::uint64_t next_order = 0;
  DiscoveryRetry discovery_retry;
  // From here on changes that the list held has missed count as told.
  Millis list_stale_at = kNever;
  double retry_budget = kRetryBurst;
  int outstanding = 0;  // at servers that were warm when asked
  double mean_out = 0;  // the same, its mean over time of late
  double brief_out = 0; // and over an aim
  Millis mean_at = 0;
  Tally wanted;             // the aims of first tries
  std::vector<Tally> asked; // by tenant
  Tally asked_by_all;
  std::map<std::uint32_t, Mean> took; // by an answer, by class
  Mean answered{1}; // share of attempts answered in time, of late
  std::map<KindId, Mean> kind_pace;
  std::map<std::pair<ZoneId, KindId>, Mean> place_pace;
  NoisyMean crowding; // answers' time against their aim, of late
  Mean cold_pace;     // the same of cold servers
  double top_worth = 1e-9;
  Millis least_aim = kRateMemory;
  double room = kRoomAtStart;  // attempts that may be outstanding
  double processes = 1;        // of this sidecar
  MemberView members;          // of the sidecars that share the servers
  std::vector<RequestId> held; // may name finished ones
  std::vector<RequestId> done; // ended during this event
  std::vector<Server *> fleet; // listed as on
  std::vector<Server *> used; // our part of the pool, and what has just left it
  std::vector<Server *> cold; // of the fleet, when last listed
  std::vector<Server *> met;  // have completed an attempt of ours
  std::map<KindId, int> fleet_kinds; // how many of the fleet, by kind
  std::set<ServerId> ejected;        // removed from the pool, or on trial
  std::map<ZoneId, Loss> lost;
  Millis zone_lost_until = 0; // of any zone, at the latest
  // As last surveyed: completed by a warm server for us in a millisecond; warm
  // servers in the pool.
  double warm_rate = 0, warm_live = 0;
  std::map<KindId, double>
      warm_rates; // by kind, of those that have a warm server
  Millis surveyed_at = -kSurvey;

  void act(const auto &action) { actions->emplace_back(action); }

  // ---- The rules: the only gates
  // ----------------------------------------------------------------------

  bool open_to(std::uint32_t c, const EndpointInfo &s) const {
    return is_open(settings, c, s);
  }

  bool may_send(const Request &r, Server &s) {
    if (r.ended || r.streaming || r.spent || now >= r.deadline)
      return false; // rule 1
    if (r.attempts.size() >= settings.max_attempts)
      return false;
    if (!open_to(r.class_index, s.info))
      return false; // placement
    if (!s.listed || s.info.state != EndpointState::active)
      return false; // rule 3
    if (r.any_out() &&
        (!settings.may_hedge || r.kind.idempotency == Idempotency::never))
      return false;
    if (r.kind.idempotency == Idempotency::never && r.first_possible_run())
      return false; // rule 2
    if (r.kind.idempotency == Idempotency::with_key)
      if (const Attempt *first = r.first_possible_run()) {
        if (now >= first->sent_at + r.kind.dedup_window)
          return false;
        for (const Attempt &a : r.attempts)
          if (a.may_have_run && !in_scope(r, a, s.info))
            return false;
      }
    return !is_cold(s) || cold_tokens(s) >= 1; // rule 4
  }

  bool may_refuse(const Request &r) const {
    const Attempt *first = r.first_possible_run();
    if (r.ended || r.streaming)
      return false;
    if (!first || r.kind.idempotency == Idempotency::always)
      return true;
    return r.kind.idempotency == Idempotency::with_key &&
           r.kind.dedup_scope == DedupScope::all &&
           now < first->sent_at + r.kind.dedup_window;
  }

  // Slow start. A server of age a does at least cold_from of its work, rising
  // evenly to all of it at slow_start_window. We send it that share of what a
  // warm server carries for us (not of the mean of all, which starting servers
  // pull down), so the sum over all sidecars stays within what it can do
  // without agreement among them. Carried, not asked for: in a storm of retries
  // that is many times what a warm server can do.
  bool is_cold(const Server &s) const {
    return warmth(s.info, settings, now) < 1;
  }
  bool is_warm_member(const Server &s) const {
    return s.fleet_kind && !is_cold(s);
  }
  double warm_members_in_pool(double warm) {
    for (const ServerId id : ejected)
      warm -= is_warm_member(servers.at(id));
    if (now >= zone_lost_until)
      return warm;
    for (const Server *s : fleet)
      warm -= !is_cold(*s) && s->standing == Standing::live && is_lost(s->info);
    return warm;
  }
  // At most this often. No pass over the fleet: those that we have not met have
  // carried nothing for us.
  void survey() {
    if (now < surveyed_at + kSurvey)
      return;
    surveyed_at = now;
    const double before = warm_live, out = std::max(mean_out, brief_out) + 1;
    double sum = 0, warm = 0;
    std::map<KindId, std::pair<double, double>>
        kinds; // of warm servers: sum carried, and number
    for (const auto &[kind, many] : fleet_kinds)
      kinds[kind].second = many, warm += many;
    for (const Server *s : cold)
      if (is_cold(*s))
        --kinds[s->info.kind].second, --warm;
    for (const Server *s : met) {
      const double carried =
          is_warm_member(*s) ? s->carried.at_time(now, kRateMemory) : 0;
      sum += carried, kinds[s->info.kind].first += carried;
    }
    warm_live = warm_members_in_pool(warm);
    // Far fewer servers take as much less: all turn to them at once, and late
    // answers tell it too late.
    if (const double left = kSpare * warm_live; left < before)
      room = std::max(room_floor(), std::min(room, out * left / before));
    warm_rate = sum / std::max(1.0, warm) / kRateMemory;
    warm_rates.clear();
    for (const auto &[kind, of] : kinds)
      if (of.second > 0)
        warm_rates[kind] = of.first / of.second / kRateMemory;
  }
  double cold_tokens(Server &s) {
    const double share =
        settings.slow_start_min_capacity +
        (1 - settings.slow_start_min_capacity) * warmth(s.info, settings, now);
    // While its answers come in time most of what would push it over; else just
    // its share. Within that its outstanding requests decide, as everywhere.
    const double n = s.carried.at_time(now, kRateMemory);
    const double late = cold_pace.value +
                        (s.pace.value - cold_pace.value) * n / (n + kKindWorth);
    survey();
    // A slow kind among fast ones gets no more than its own do. One with no
    // warm server shows nothing: at its share of the mean it stands if it is
    // not slower than that by the whole multiple.
    const auto own = warm_rates.find(s.info.kind);
    const bool cautious = late > kAimShare || own == warm_rates.end();
    const double feed =
        cautious ? 1 : std::max(1.0, kFeed * settings.overload_multiple);
    // Never less than the trials of a few sidecars: that much from each of a
    // thousand pushes it over.
    const double rate =
        own == warm_rates.end() ? warm_rate : std::min(warm_rate, own->second);
    const double fed = std::max(feed * share * rate, our_part() / kBackoff);
    s.tokens = std::min(s.tokens + (now - s.tokens_at) * fed, 1.0);
    s.tokens_at = now;
    return s.tokens;
  }

  // ---- Membership
  // -------------------------------------------------------------------------------------

  void on(const Started &) {
    if (settings.must_subscribe)
      act(Subscribe{true});
  }

  void on(const EndpointList &list) {
    if (list.kind == ListKind::failed) {
      // Who has not asked for resubscribe_within counts as told of every drain
      // (rule 3).
      const Millis most = settings.resubscribe_within > 0
                              ? settings.resubscribe_within
                              : DiscoveryRetry::kLongestWait;
      set_timer(
          now + std::min(discovery_retry.wait_after(list, now, random), most),
          std::nullopt);
      if (list.notified_within)
        list_stale_at = now + *list.notified_within;
      return;
    }
    if (list.kind != ListKind::cached)
      discovery_retry.answered(), list_stale_at = kNever;
    if (list.kind != ListKind::incremental)
      for (auto &[id, s] : servers)
        s.listed = false;
    for (const EndpointInfo &info : list.servers)
      learn(info);
    std::erase_if(used, [](const Server *s) { return !s->in_use; });
    std::sort(used.begin(), used.end(), by_id);
    used.erase(std::unique(used.begin(), used.end()), used.end());
    std::erase_if(cold, [this](const Server *s) { return !is_cold(*s); });
    // In a large fleet changes are many, and each is of few servers: the others
    // stay where they are.
    if (list.kind == ListKind::incremental) {
      for (const EndpointInfo &info : list.servers)
        if (const auto it = servers.find(info.id); it != servers.end())
          enter(it);
    } else {
      fleet.clear(), cold.clear();
      for (auto it = servers.begin(); it != servers.end();)
        enter(it++);
    }
    surveyed_at = -kSurvey;
    release_held();
  }

  static bool by_id(const Server *l, const Server *r) {
    return l->info.id < r->info.id;
  }
  // Keeps the order of ids, whichever way a list came.
  static void put(std::vector<Server *> &into, Server &s, bool belongs) {
    if (belongs && (into.empty() || by_id(into.back(), &s)))
      return into.push_back(&s);
    const auto at = std::lower_bound(into.begin(), into.end(), &s, by_id);
    const bool there = at != into.end() && *at == &s;
    if (belongs && !there)
      into.insert(at, &s);
    if (!belongs && there)
      into.erase(at);
  }
  // After a list has told of it: where it belongs now. One that has left is
  // kept while attempts are out.
  void enter(Servers::iterator it) {
    Server &s = it->second;
    const bool on = s.listed && s.info.state == EndpointState::active;
    put(fleet, s, on);
    put(cold, s, on && is_cold(s));
    if (s.fleet_kind)
      --fleet_kinds[*s.fleet_kind];
    s.fleet_kind = on ? std::optional(s.info.kind) : std::nullopt;
    if (on)
      ++fleet_kinds[s.info.kind];
    if (s.standing == Standing::live)
      ejected.erase(it->first);
    forget_if_gone(it);
  }
  void forget_if_gone(Servers::iterator it) {
    Server &s = it->second;
    if (s.listed || s.outstanding > 0)
      return;
    std::erase(used, &s);
    put(met, s, false);
    ejected.erase(it->first);
    servers.erase(it);
  }

  // A list that could not be renewed in time may name servers that have begun
  // to leave, or that were gone and came back, and sends to either break
  // rule 3. What an answer proves: who took new work within kToldWithin was not
  // leaving then, and if it has begun to since, that does not count as told
  // yet. Who has failed us since the list was true may have been gone in
  // between, whatever it answers now.
  bool is_known_present(const Server &s) const {
    if (now < list_stale_at)
      return true;
    return s.doubted_at < list_stale_at - kToldWithin &&
           now < s.took_work_at + kToldWithin;
  }

  void learn(const EndpointInfo &info) {
    const auto [it, fresh] = servers.try_emplace(info.id);
    Server &s = it->second;
    if (fresh || info.started_at > s.info.started_at) {
      // As if long filling, at a different depth for each sidecar: tokens must
      // not fall together.
      s.tokens = random.unit();
      s.tokens_at = now;
      s.standing = Standing::live; // another process under the same name: its
                                   // record starts anew
      s.window.clear();
      s.shunned_until.clear();
    }
    s.info = info;
    s.listed = info.state != EndpointState::removed;
  }

  // ---- Verdict: window, backoff, trial
  // ----------------------------------------------------------------

  void judge(Server &s, const Request &r, const Attempt &a, Outcome outcome,
             bool late, bool silent) {
    const bool success = outcome == Outcome::completed &&
                         !late; // past its aim: as good as timed out
    const bool verdict = is_verdict(outcome);
    if (s.standing == Standing::trial && a.trial) {
      if (verdict)
        return success ? restore(s) : remove(s);
      s.standing =
          Standing::removed; // undecided: the next request is the trial
      return;
    }
    if (!verdict || s.standing != Standing::live)
      return;
    // Out of reach: no connection, or silence. Whoever meets a server seldom
    // fills no window: where others have answered since, it is the server's
    // doing, and one such outcome is enough.
    if (silent || (outcome == Outcome::connect_failed && now < r.deadline)) {
      Loss &loss = lost[s.info.zone];
      loss.add(s.info.id, now);
      if (loss.outcomes == kLost)
        surveyed_at = -kSurvey;
      if (loss.outcomes >= kLost)
        zone_lost_until = now + kBackoff;
      if (others_answer(servers, s, a.sent_at))
        return remove(s);
    }
    if (outcome == Outcome::overloaded || outcome == Outcome::connect_failed)
      s.in_use = false;
    s.window.push_back({r.class_index, success});
    if (s.window.size() > kWindow)
      s.window.pop_front();
    // Where traffic is thin, or a server fails one class only, the class's part
    // of the window is read as it stands: below the threshold the class shuns
    // the server for a backoff. Lateness and a full queue don't count: under a
    // crowd they say nothing of one server.
    if (success)
      s.shunned_until.erase(r.class_index);
    const bool outright = outcome != Outcome::completed &&
                          outcome != Outcome::overloaded &&
                          (outcome != Outcome::timed_out || silent);
    const bool alone = s.share_of(r.class_index, false, kKindWorth) >=
                       kThreshold; // its others are served
    if (outright && (alone || s.window.size() < kWindow) &&
        s.share_of(r.class_index, true, 1) < kThreshold)
      s.shunned_until[r.class_index] = now + kBackoff;
    if (!success && below_threshold(s) && !alone && may_remove(s))
      remove(s);
  }

  // Shared slowness makes every server fail, and removing them all makes it an
  // outage. So a server is held against the others: 0.9 of their success share,
  // less three standard errors of a window of that share. While the others
  // don't fail, this is 0.9. A window not yet full is judged as if the rest
  // were successes: what is certain need not wait, least of all where traffic
  // is thin.
  bool below_threshold(const Server &s) const {
    const double unfilled = static_cast<double>(kWindow - s.window.size());
    const double share = (s.successes() + unfilled) / kWindow;
    if (share >= kThreshold)
      return false; // whatever the others do
    const double level = level_without(servers, s);
    const double noise =
        std::sqrt(level * (1 - level) / static_cast<double>(kWindow));
    return share < kThreshold * level - 3 * noise;
  }

  // Panic threshold: half of the listed servers stay in the pool, whatever
  // their windows say; for each class, half of those open to it.
  bool may_remove(const Server &one) const {
    for (std::uint32_t c = 0; c < settings.classes.size(); ++c) {
      if (!open_to(c, one.info))
        continue;
      std::size_t listed = 0, out = 0;
      for (const auto &[id, s] : servers)
        if (s.listed && open_to(c, s.info))
          ++listed, out += s.standing != Standing::live;
      if (2 * (out + 1) > listed)
        return false;
    }
    return true;
  }

  bool is_lost(const EndpointInfo &s) {
    return lost[s.zone].covers(s, now, kLost, kBackoff);
  }

  void remove(Server &s) {
    if (s.standing == Standing::live)
      act(EndpointEjected{s.info.id, now + kBackoff});
    s.standing = Standing::removed;
    s.in_use = false;
    s.backoff_until = now + kBackoff;
    ejected.insert(s.info.id);
  }

  void restore(Server &s) {
    s.standing = Standing::live;
    ejected.erase(s.info.id);
    s.window.clear();
    act(EndpointRestored{s.info.id});
  }

  // ---- Pick
  // -------------------------------------------------------------------------------------------

  Server *due_trial(const Request &r) {
    // Past the list's bound a trial may go to one that has left: only where
    // nobody else is there.
    const auto is_live = [](const Server *s) {
      return s->standing == Standing::live;
    };
    if (now >= list_stale_at &&
        std::any_of(fleet.begin(), fleet.end(), is_live))
      return nullptr;
    for (const ServerId id : ejected)
      if (Server &s = servers.at(id); s.standing == Standing::removed &&
                                      now >= s.backoff_until && may_send(r, s))
        return &s;
    return nullptr;
  }

  Server *pick(const Request &r, bool admitted) {
    // Our part of the pool: two servers more than we have attempts out. Over
    // more of them a light sidecar fills no window; one that is removed leaves
    // its place to another.
    std::vector<Server *> live, leave, again, unknown;
    const auto list_for = [&](const Server &s) -> std::vector<Server *> & {
      if (!is_known_present(s))
        return unknown;
      if (r.tried(s.info.id) || shuns(r, s))
        return again;
      return better_left(r, s) ? leave : live;
    };
    const auto offer = [&](Server &s) {
      if (s.standing == Standing::live && (admitted || is_cold(s)) &&
          may_send(r, s))
        list_for(s).push_back(&s);
    };
    std::erase_if(used, [](const Server *s) { return !s->in_use; });
    for (Server *s : used)
      offer(*s);
    for (Server *s : cold)
      if (!s->in_use && is_cold(*s))
        offer(*s);
    const double part = std::max<double>(mean_out, outstanding) + 2;
    double least = kind_pace.empty() ? kLeastPace : 1; // cost, of any kind
    for (const auto &[kind, pace] : kind_pace)
      least = std::min(least, std::max(kLeastPace, pace.value));
    const auto spare = [&](const Server *s) {
      return !s->in_use && !is_cold(*s) &&
             std::find(live.begin(), live.end(), s) == live.end();
    };
    for (int i = admitted && !fleet.empty() ? kDraws + static_cast<int>(part)
                                            : 0;
         i > 0 && static_cast<double>(live.size()) < part; --i) {
      Server *s = fleet[random.below(fleet.size())];
      if (spare(s) && random.unit() * cost(*s) < least)
        offer(*s);
    }
    for (std::size_t i = 0; admitted && live.empty() && i < fleet.size(); ++i)
      if (spare(fleet[i]))
        offer(*fleet[i]);
    for (auto *const rest : {&leave, &again, &unknown})
      if (live.empty())
        live.swap(*rest);
    if (live.empty())
      return nullptr;
    Server *const best = better_of_two(live);
    if (leave.empty())
      return best;
    Server *const other = better_of_two(leave);
    return std::max(kLeastPace, pace(*other)) < kLeave * pace(*best) ? other
                                                                     : best;
  }

  // Affinity: the first in the key's own order of the servers, the same at
  // every sidecar without a word between them, that may have it and has not too
  // much of ours out (bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2018).
  // One that leaves moves its own keys only.
  Server *of_key(const Request &r, bool admitted) {
    double out = 1, live = 0;
    for (const Server *s : fleet)
      if (s->standing == Standing::live)
        out += s->outstanding, ++live;
    const double bound = std::max(kFloor, settings.affinity_load_bound * out /
                                              std::max(1.0, live));
    Server *best = nullptr;
    std::uint64_t most = 0;
    for (Server *s : fleet) {
      const std::uint64_t rank = rank_of(r.affinity, s->info.name_hash);
      if (best && rank <= most)
        continue;
      if (s->standing != Standing::live || r.tried(s->info.id) || shuns(r, *s))
        continue;
      if (!is_known_present(*s))
        continue;
      if (s->outstanding + 1 > bound || (!admitted && !is_cold(*s)) ||
          !may_send(r, *s))
        continue;
      best = s, most = rank;
    }
    return best;
  }

  // A server that a class worth more is confined to is left to it by those that
  // may go elsewhere.
  bool better_left(const Request &r, const Server &s) const {
    for (std::uint32_t c = 0; c < settings.classes.size(); ++c)
      if (const RequestClass &k = settings.classes[c];
          c != r.class_index && (k.zones || k.kinds) &&
          k.priority_weight > r.kind.priority_weight && open_to(c, s.info))
        return true;
    return false;
  }

  // The mechanism's pick: of two at random the one with fewer of our requests
  // outstanding.
  Server *better_of_two(std::vector<Server *> &live) {
    std::swap(live[draw(live)], live.back());
    Server *const first = live.back();
    live.pop_back();
    if (live.empty())
      return first;
    Server *const second = live[draw(live)];
    const bool other = second->outstanding < first->outstanding ||
                       (second->outstanding == first->outstanding &&
                        cost(*second) < cost(*first));
    return other ? second : first;
  }

  bool shuns(const Request &r, const Server &s) {
    const auto at = s.shunned_until.find(r.class_index);
    return (at != s.shunned_until.end() && now < at->second) ||
           is_lost(s.info) || s.quiet_for(r.kind.latency_objective, now);
  }

  // What a send there costs: the time of answers against the aim, and what is
  // paid for crossing zones.
  double cost(const Server &s) {
    const bool far = settings.my_zone && s.info.zone != *settings.my_zone;
    return std::max(kLeastPace, pace(s)) +
           (far ? settings.costs.cross_zone : 0);
  }

  // What answers of a server take against their aim: its own of late, as far as
  // there are any, else those of its kind in its zone, else of its kind. A
  // light sidecar meets a server too seldom to know it, but knows its kind, and
  // a crowded zone from a free one.
  double pace(const Server &s) {
    const double n = s.carried.at_time(now, kRateMemory);
    const auto place = place_pace.find({s.info.zone, s.info.kind});
    const double kind = place != place_pace.end()
                            ? place->second.value
                            : kind_pace[s.info.kind].value;
    return kind + (s.pace.value - kind) * n / (n + kKindWorth);
  }

  // One of them at random, by quickness: with each kind's share of the work as
  // the inverse of the time its answers take, fast and slow machines end up
  // equally busy.
  std::size_t draw(const std::vector<Server *> &from) {
    return weighted(random, from.size(),
                    [&](std::size_t i) { return 1 / cost(*from[i]); });
  }

  // ---- Admission
  // --------------------------------------------------------------------------------------

  // Little's law: a bound on what is out bounds the time it takes. It follows
  // how long answers take against their aim; errors say nothing of crowding,
  // and it only grows while half of it is used, and comes down from no higher
  // than that. Cut to what is out, each mean above its mark would idle the
  // servers anew.
  void adapt_room(Server &s, const Request &r, const AttemptEnded &e,
                  bool silent) {
    double ratio = 1.5;
    if (e.outcome == Outcome::completed)
      ratio = std::min(1.5, e.duration / r.kind.latency_objective);
    else if ((e.outcome != Outcome::timed_out || silent) &&
             e.outcome != Outcome::overloaded)
      return;
    s.pace.add(ratio, now, kSamples, kRateMemory);
    for (Mean *pooled :
         {&kind_pace[s.info.kind], &place_pace[{s.info.zone, s.info.kind}]})
      pooled->add(ratio, now, 5 * kSamples, 4 * kRateMemory);
    if (is_cold(s))
      return cold_pace.add(ratio, now, kSamples,
                           kRateMemory); // nothing of the pool
    const Millis since = std::min(now - crowding.known_at, 1000.0);
    crowding.add(ratio, now, kSamples, kRateMemory);
    // A cut at each chance peak of a mean of so few would keep a light sidecar
    // well below the mark.
    const double noise = crowding.error(kSamples);
    const double over = crowding.value - kAimShare;
    const double pull = std::exp(
        -kRoomGain * (over < 0 ? over : std::max(0.0, over - noise)) * since);
    if (pull < 1)
      room = std::max(
          room_floor(),
          std::min(room, 2 * std::max(mean_out, outstanding + 1.0)) * pull);
    else if (outstanding + 1 > room / 2)
      room = std::min(kRoomAtStart, room * pull);
  }

  // Where slow service alone takes that long, refusing more only idles the
  // servers: one attempt for each warm live server is always allowed, and with
  // many sidecars our part of kFloor.
  double room_floor() {
    survey();
    // Nor do equal floors starve the busy among them: each keeps a part of its
    // own demand.
    const double asked =
        kLeast * kAimShare * wanted.at_time(now, kRateMemory) / kRateMemory;
    return std::max(asked, our_part() * std::max(1.0, warm_live));
  }
  double our_part() const {
    return std::min(1.0, kFloor / std::max(1u, sharers())) / processes;
  }
  unsigned sharers() const {
    return members.quorum ? members.present : settings.fleet_size;
  }

  // Worth: the class worth most may fill the room, the others leave it part of
  // theirs; excess has the common part and less the later answers come. A part
  // of less than one attempt bounds the mean over time.
  bool has_room(const Request &r) const {
    const double due = r.excess ? settings.over_quota_weight : 1;
    const double worth =
        r.repeat ? 0 : due * r.kind.priority_weight / top_worth;
    const double calm =
        std::clamp(3 - 2 * crowding.value / kAimShare, due, 1.0);
    const double part = room * (kCommonRoom + (1 - kCommonRoom) * worth) * calm;
    return outstanding < part && (part >= 1 || brief_out < part);
  }

  // Fairness. A tenant that asks for more than its share of what reaches us (a
  // burst, or clients that repeat at once whatever they are told, often
  // unmarked) has that much of its requests counted as excess: in a crowd they
  // find room for what they are worth, so they starve nobody else. Without a
  // crowd nothing changes.
  bool over_share(std::uint32_t tenant) {
    if (tenant >= settings.tenant_quotas.size())
      return false;
    asked.resize(settings.tenant_quotas.size());
    asked[tenant].add(1, now, kMixMemory);
    asked_by_all.add(1, now, kMixMemory);
    const double share = settings.tenant_quotas[tenant];
    const double seen = (asked[tenant].value + kMixPrior * share) /
                        (asked_by_all.value + kMixPrior);
    return random.unit() * seen > share;
  }

  // Called before outstanding changes; place() calls it for dispatch() and for
  // whoever uses the mean.
  void count_out() {
    mean_out = outstanding +
               (mean_out - outstanding) * fade(mean_at, now, kRateMemory);
    brief_out = outstanding +
                (brief_out - outstanding) * fade(mean_at, now, 3 * least_aim);
    mean_at = now;
  }

  // What is worth most goes first, then what came last: under a crowd the
  // oldest has least use left.
  void release_held() {
    if (held.empty() || outstanding >= room)
      return;
    std::vector<RequestId> waiting;
    waiting.swap(held);
    std::erase_if(waiting, [&](RequestId id) {
      const auto it = requests.find(id);
      return it == requests.end() || it->second.ended || it->second.any_out();
    });
    std::sort(waiting.begin(), waiting.end(), [&](RequestId a, RequestId b) {
      const Request &l = requests.at(a), &r = requests.at(b);
      return l.kind.priority_weight != r.kind.priority_weight
                 ? l.kind.priority_weight > r.kind.priority_weight
                 : l.order > r.order;
    });
    for (const RequestId id : waiting)
      place(requests.at(id));
  }

  // ---- A request
  // --------------------------------------------------------------------------------------

  void on(const RequestArrived &e) {
    const auto [it, fresh] = requests.try_emplace(e.id);
    if (!fresh)
      return;
    Request &r = it->second;
    r.id = e.id;
    r.class_index = e.class_index;
    r.repeat = e.is_retry;
    r.affinity = e.affinity_hash;
    r.order = next_order++;
    if (e.class_index < settings.classes.size()) {
      r.kind = settings.classes[e.class_index];
    } else { // unknown: what we know least about is handled with most care
      r.kind.idempotency = Idempotency::never;
      r.kind.latency_objective = std::max(1.0, e.time_left);
    }
    r.excess = over_share(e.tenant);
    r.kind.latency_objective +=
        r.kind.objective_per_effort * std::max(0.0, e.effort);
    if (!r.repeat)
      wanted.add(r.kind.latency_objective, now, kRateMemory);
    r.deadline = e.body_incomplete ? kNever : now + std::max(0.0, e.time_left);
    retry_budget = std::min(retry_budget + kRetryShare, kRetryBurst);
    r.hold_until = std::min(r.deadline, now + r.kind.latency_objective * kHold);
    if (!e.body_incomplete)
      set_timer(r.deadline, r.id);
    place(r);
  }

  // Shed what can't be answered any more: it would only fill servers with work
  // that serves nobody.
  bool hopeless(const Request &r) const {
    const auto at = took.find(r.class_index);
    return at != took.end() && now + kHopeless * at->second.value > r.deadline;
  }

  void place(Request &r) {
    count_out();
    if (hopeless(r) && !r.any_out())
      return finish(r);
    survey();
    const bool admitted = has_room(r);
    if (Server *s = admitted ? due_trial(r) : nullptr)
      return dispatch(r, *s);
    if (Server *s = r.affinity ? of_key(r, admitted) : nullptr)
      return dispatch(r, *s);
    if (Server *s = pick(r, admitted))
      return dispatch(r, *s);
    // Nobody may have it now. If one may later, hold it: at hold_until the
    // timer answers.
    if (r.any_out())
      return;
    if (now >= r.hold_until || r.spent ||
        r.attempts.size() >= settings.max_attempts ||
        (r.first_possible_run() && r.kind.idempotency == Idempotency::never))
      return finish(r);
    held.push_back(r.id);
    if (r.waiting)
      return;
    r.waiting = true;
    set_timer(r.hold_until, r.id);
  }

  void dispatch(Request &r, Server &s) {
    const bool trial = s.standing == Standing::removed, cold = is_cold(s);
    if (trial)
      s.standing = Standing::trial;
    if (cold)
      s.tokens -= 1;
    if (!r.attempts.empty())
      retry_budget -= 1;
    if (s.outstanding++ == 0)
      s.quiet_since = now;
    if (!s.in_use)
      used.push_back(&s);
    s.in_use = true;
    outstanding += !cold;
    // A repeat that its servers are to drop has to reach them while they
    // remember the key: its connection may come up later than it is chosen.
    const Attempt *const first = r.kind.idempotency == Idempotency::with_key
                                     ? r.first_possible_run()
                                     : nullptr;
    const Millis send_by =
        first ? first->sent_at + r.kind.dedup_window : r.deadline;
    r.attempts.push_back({s.info, now, true, true, trial, cold});
    act(SendAttempt{r.id, s.info.id, r.deadline,
                    std::min(send_by, r.deadline)});
  }

  void on(const BodyComplete &e) {
    const auto it = requests.find(e.id);
    if (it == requests.end())
      return;
    it->second.deadline = now + std::max(0.0, e.time_left);
    set_timer(it->second.deadline, e.id);
  }
  void on(const BodyDiscarded &e) {
    if (const auto it = requests.find(e.id); it != requests.end())
      it->second.spent = true;
  }

  void on(const ResponseStarted &e) {
    const auto it = requests.find(e.id);
    if (it != requests.end() && e.attempt < it->second.attempts.size())
      it->second.streaming = true;
  }

  void book(Server &s, const Request &r, const Attempt &a,
            const AttemptEnded &e) {
    --s.outstanding;
    // Silence: it ran out of time and nothing has come from the server since it
    // was sent. That is a dead server or a lost path, not crowding, unless most
    // attempts end so: then it is shared slowness.
    const bool overdue = e.outcome == Outcome::timed_out;
    answered.add(overdue ? 0.0 : 1.0, now, kSamples, kRateMemory);
    const bool silent =
        overdue && s.answered_at < a.sent_at && answered.value > 0.5;
    if (is_answer(e.outcome))
      s.answered_at = s.quiet_since = now, lost[s.info.zone].answered(s.info);
    if (e.outcome == Outcome::completed)
      s.took_work_at = std::max(s.took_work_at, a.sent_at);
    if (silent || may_have_left(e.outcome))
      s.doubted_at = now;
    adapt_room(s, r, e, silent);
    if (e.outcome == Outcome::completed) {
      if (s.carried.value == 0)
        put(met, s, true);
      s.carried.add(1, now, kRateMemory);
      took[r.class_index].add(e.duration, now, kSamples, kMixMemory);
    }
    judge(s, r, a, e.outcome,
          e.duration > r.kind.latency_objective && !is_cold(s), silent);
  }

  void on(const AttemptEnded &e) {
    const auto it = requests.find(e.id);
    if (it == requests.end() || e.attempt >= it->second.attempts.size())
      return;
    Request &r = it->second;
    Attempt &a = r.attempts[e.attempt];
    if (!a.out)
      return;
    a.out = false;
    count_out();
    outstanding -= !a.cold;
    a.may_have_run = !proves_never_ran(e.outcome, settings);
    if (const auto at = servers.find(a.to.id); at != servers.end()) {
      book(at->second, r, a, e);
      forget_if_gone(at);
    }
    if (e.request_ended)
      r.ended = true;
    if (r.ended)
      done.push_back(r.id);
    // Without a retry budget each request asks a crowded pool as often as the
    // limits allow.
    if (now >= r.deadline || (!r.any_out() && retry_budget < 1))
      finish(r);
    else if (!r.ended && !r.any_out())
      place(r);
    release_held();
  }

  void on(const ClientDisconnected &e) {
    const auto it = requests.find(e.id);
    if (it == requests.end())
      return;
    cancel_all(it->second);
    it->second.ended = true;
    done.push_back(e.id);
  }

  // The only final answer: a refusal where that is true, else a failure. Who
  // comes back sooner than need be finds the same crowd, and adds to it.
  void finish(Request &r) {
    if (r.ended || r.streaming)
      return;
    cancel_all(r);
    act(may_refuse(r) ? Action(RejectRequest{r.id, settings.max_retry_after})
                      : Action(FailRequest{r.id}));
    r.ended = true;
    done.push_back(r.id);
  }

  void cancel_all(const Request &r) {
    for (std::uint32_t i = 0; settings.may_cancel && i < r.attempts.size(); ++i)
      if (r.attempts[i].out)
        act(CancelAttempt{r.id, i});
  }

  // After each event: what has its answer and nothing out leaves no trace.
  void forget_done() {
    for (const RequestId id : done) {
      const auto it = requests.find(id);
      if (it != requests.end() && it->second.ended && !it->second.any_out())
        requests.erase(it);
    }
    done.clear();
  }

  // ---- Timers and the rest
  // ----------------------------------------------------------------------------

  void set_timer(Millis at, std::optional<RequestId> request) {
    timers[next_token] = request;
    act(SetTimer{at, next_token++});
  }

  void on(const TimerFired &e) {
    const auto timer = timers.find(e.token);
    if (timer == timers.end())
      return;
    const std::optional<RequestId> id = timer->second;
    timers.erase(timer);
    if (!id)
      return act(Subscribe{true});
    const auto it = requests.find(*id);
    if (it == requests.end() || it->second.ended)
      return;
    if (now >= it->second.deadline)
      finish(it->second);
    else if (!it->second.any_out())
      place(it->second);
  }

  void on(const ProcessOverlap &e) { processes = e.overlapping ? 2 : 1; }
  void on(const MemberView &e) { members = e; }

  void on(const auto &) {} // probes and peers: not used
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer &&) noexcept = default;
Balancer &Balancer::operator=(Balancer &&) noexcept = default;

void Balancer::handle(Millis now, const Event &event,
                      std::vector<Action> &actions) {
  impl_->now = std::max(impl_->now, now);
  impl_->actions = &actions;
  std::visit([this](const auto &e) { impl_->on(e); }, event);
  impl_->forget_done();
}

Balancer::Gauges Balancer::gauges() const {
  return {impl_->requests.size(), impl_->servers.size(), impl_->timers.size(),
          avoided(impl_->servers, impl_->lost, impl_->now, kLost, kBackoff)};
}

} // namespace mothring
