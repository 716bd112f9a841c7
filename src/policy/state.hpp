// What the decisions in balance.cpp know of each server and each request. Nothing here decides anything.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

#include "support.hpp"

namespace mothring {

// Whether an optional list has no say or names the value.
template <class T>
bool holds(const std::optional<std::vector<T>>& list, T value) {
    return !list || std::find(list->begin(), list->end(), value) != list->end();
}

constexpr Millis kLongAgo = -1e15;

enum class Standing { live, removed, trial };

struct Server {
    EndpointInfo info;
    bool listed = true;
    int outstanding = 0;
    Standing standing = Standing::live;
    struct Result {
        std::uint32_t class_index;
        bool success;
    };
    std::deque<Result> window;                      // last outcomes
    std::map<std::uint32_t, Millis> shunned_until;  // by class
    Millis backoff_until = 0;
    double tokens = 0;  // sends a cold server may still take
    Millis tokens_at = 0;
    Millis answered_at = 0;            // when anything last came from it
    Millis took_work_at = kLongAgo;    // when the last attempt was sent there that it has completed
    Millis doubted_at = kLongAgo;      // when it last failed as one does that has left
    Millis quiet_since = 0;            // while attempts are out there: since when nothing has come
    Tally carried;                     // its completed attempts
    bool in_use = false;               // in our part of the pool
    std::optional<KindId> fleet_kind;  // as counted in the fleet; none: not listed as on
    Mean pace;                         // its answers' time against their aim, of late

    // What is out there has been out for longer than that, and nothing else has come since.
    bool quiet_for(Millis length, Millis now) const { return outstanding > 0 && now - quiet_since > length; }
    double successes() const {
        return static_cast<double>(
            std::count_if(window.begin(), window.end(), [](const Result& w) { return w.success; }));
    }
    // The share of successes in the window, of one class or of all the others; 0 where too few are there to
    // tell.
    double share_of(std::uint32_t class_index, bool own, double few) const {
        double good = 0, all = 0;
        for (const Result& w : window)
            if ((w.class_index == class_index) == own) ++all, good += w.success;
        return all >= few ? good / all : 0;
    }
};

using Servers = std::map<ServerId, Server>;

// The share of successes that the live servers but this one show; 1 where they show nothing.
inline double level_without(const Servers& servers, const Server& one) {
    double good = 0, all = 0;
    for (const auto& [id, s] : servers)
        if (&s != &one && s.standing == Standing::live) {
            good += s.successes();
            all += static_cast<double>(s.window.size());
        }
    return all > 0 ? good / all : 1;
}

// Whether anything has come from a live server but this one.
inline bool others_answer(const Servers& servers, const Server& one, Millis since) {
    return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
        const Server& s = entry.second;
        return &s != &one && s.standing == Standing::live && s.answered_at > since;
    });
}

// Outcomes out of reach in a zone, of one server after another, since one of them answered.
struct Loss {
    int outcomes = 0;
    Millis at = 0;  // of the last
    ServerId server = 0;
    void add(ServerId id, Millis now) {
        outcomes += outcomes == 0 || id != server;
        server = id, at = now;
    }
    // Servers started since say nothing of the others.
    void answered(const EndpointInfo& s) {
        if (s.started_at < at || at == 0) *this = {};
    }
    bool covers(const EndpointInfo& s, Millis now, int enough, Millis length) const {
        return outcomes >= enough && now < at + length && s.started_at < at;
    }
};

// Placement. A class we don't know might be bound as any of ours: it may go only where all of them may.
inline bool is_open(const Settings& settings, std::uint32_t class_index, const EndpointInfo& s) {
    const auto open = [&](const RequestClass& c) { return holds(c.zones, s.zone) && holds(c.kinds, s.kind); };
    const auto& all = settings.classes;
    return class_index < all.size() ? open(all[class_index]) : std::all_of(all.begin(), all.end(), open);
}

// Listed servers that get nothing now: leaving, out of the pool, or in a lost zone.
inline std::size_t avoided(const Servers& servers, const std::map<ZoneId, Loss>& lost, Millis now, int enough,
                           Millis length) {
    return static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(), [&](const auto& entry) {
        const Server& s = entry.second;
        const auto loss = lost.find(s.info.zone);
        return s.listed && (s.info.state != EndpointState::active || s.standing != Standing::live ||
                            (loss != lost.end() && loss->second.covers(s.info, now, enough, length)));
    }));
}

struct Attempt {
    EndpointInfo to;
    Millis sent_at = 0;
    bool out = true, may_have_run = true;
    bool trial = false, cold = false;
};

struct Request {
    RequestId id = 0;
    std::uint32_t class_index = 0;
    RequestClass kind;
    // The client's. Not the aim: giving up there makes clients repeat what a server is still working on,
    // while a late answer, worth as little, keeps them quiet.
    Millis deadline = 0;
    std::uint64_t order = 0;  // of arrival
    bool excess = false;      // beyond its tenant's share
    std::uint64_t affinity = 0;
    bool repeat = false, ended = false, streaming = false;
    bool spent = false;     // its body can't be sent again
    bool waiting = false;   // has its hold timer
    Millis hold_until = 0;  // what waits for room is refused after this
    std::vector<Attempt> attempts;

    bool any_out() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
    }
    const Attempt* first_possible_run() const {
        for (const Attempt& a : attempts)
            if (a.may_have_run) return &a;
        return nullptr;
    }
    bool tried(ServerId server) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.to.id == server; });
    }
};

// How far it is through its warm-up, from 0; 1: warm.
inline double warmth(const EndpointInfo& s, const Settings& settings, Millis now) {
    if (settings.slow_start_window <= 0 || s.started_at <= 0) return 1;
    return std::clamp((now - s.started_at) / settings.slow_start_window, 0.0, 1.0);
}

// Whether a server drops repeats of what the attempt may have run.
inline bool in_scope(const Request& r, const Attempt& a, const EndpointInfo& s) {
    if (r.kind.dedup_scope == DedupScope::all) return true;
    return r.kind.dedup_scope == DedupScope::zone ? a.to.zone == s.zone : a.to.cell == s.cell;
}

}  // namespace mothring
