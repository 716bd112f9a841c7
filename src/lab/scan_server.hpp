// The stand-in for a scan server, written from PROTOCOL, "Sidecars to scan servers": answers of 200, 500 and
// 503 with Not-Started, silence, resets, load reports, /ping and /_load, idle close, and a cold start whose
// capacity rises evenly. One thread each.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/asio.hpp"
#include "lab/stats.hpp"

namespace mothring::lab {

struct Latency {
    enum class Kind { constant, uniform, exponential, lognormal };
    Kind kind = Kind::lognormal;
    Millis ms = 8;       // the value, the least, the mean or the median
    double spread = .5;  // uniform: the greatest, in ms; lognormal: sigma of the logarithm
    Millis sample(std::mt19937_64& random) const;
};

// How a server behaves; shares are of the requests it takes, 0 to 1.
struct Behaviour {
    Latency latency;
    double slow = 1;  // its latency times this
    double error_share = 0, turn_away_share = 0, reset_share = 0;
    bool silent = false;     // takes requests, answers nothing
    std::size_t slots = 16;  // at work at a time
    std::size_t queue = 32;  // waiting; beyond: 503 with Not-Started
    bool reports = true;     // Server-Load with every answer
    Millis idle_close = 15000;
    std::size_t body_bytes = 256;
    double cold_from = 1;  // the share of its capacity it starts with,
    Millis warm_ms = 0;    // which becomes the whole evenly in this time
};

class ScanServer {
public:
    ScanServer(std::string name, std::string zone, const Behaviour& behaviour, std::uint64_t seed,
               std::shared_ptr<Ledger> ledger);
    ~ScanServer();

    const std::string& name() const { return name_; }
    const std::string& zone() const { return zone_; }
    Tcp::endpoint address() const { return address_; }

    // The functions below may be called from any thread.
    void set(const Behaviour& behaviour);
    Behaviour behaviour();
    // Resets its connections and refuses new ones until up again; it then starts cold.
    void set_down(bool down);

    struct Counts {
        std::uint64_t arrived = 0, served = 0, errors = 0, turned_away = 0, resets = 0, silent = 0, pings = 0;
        std::size_t most_at_work = 0, open = 0;
        std::vector<std::uint64_t> seconds;  // arrivals, by the second since `start_seconds`
    };
    Counts counts();
    void start_seconds();  // the series begins now

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    Task accept();
    Task serve(ConnectionPtr connection);
    // Gives false where the connection is to end.
    asio::awaitable<bool> answer(Connection& connection);
    double capacity() const;  // of the whole, now
    std::string load() const;
    void release();

    Worker worker_;
    std::string name_, zone_;
    Behaviour behaviour_;
    std::mt19937_64 random_;
    std::shared_ptr<Ledger> ledger_;
    Tcp::acceptor acceptor_;
    Tcp::endpoint address_;
    bool down_ = false;
    std::chrono::steady_clock::time_point started_, series_start_;
    bool cold_ = false, series_ = false;
    std::size_t at_work_ = 0;
    std::deque<asio::steady_timer*> waiting_;
    std::list<std::weak_ptr<Connection>> connections_;
    Counts counts_;
};

}  // namespace mothring::lab
