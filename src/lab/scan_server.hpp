/// @file
/// Simulates a scan server: answers of 200, 500 and 503 with Not-Started, missing answers, resets, load
/// reports, /ping and /_load, closing of idle connections, and a cold start with linearly rising capacity.
/// Each server runs on its own thread.
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

/// A distribution of service times.
struct Latency {
    enum class Kind { constant, uniform, exponential, lognormal };
    Kind kind = Kind::lognormal;
    Millis ms = 8;       ///< The value, minimum, mean or median, depending on the kind.
    double spread = .5;  ///< uniform: the maximum in ms; lognormal: sigma of the logarithm.
    Millis sample(std::mt19937_64& random) const;
};

/// The behaviour of a server. Shares are fractions, from 0 to 1, of the requests it receives.
struct Behaviour {
    Latency latency;
    double slow = 1;  ///< Factor on the latency.
    double error_share = 0, turn_away_share = 0, reset_share = 0;
    bool silent = false;     ///< Accepts requests but doesn't answer them.
    std::size_t slots = 16;  ///< Requests processed concurrently.
    std::size_t queue = 32;  ///< Requests that may wait; further ones get 503 with Not-Started.
    bool reports = true;     ///< Sends Server-Load with every answer.
    Millis idle_close = 15000;
    std::size_t body_bytes = 256;
    double cold_from = 1;  ///< Share of the capacity available after a cold start.
    Millis warm_ms = 0;    ///< Time in which the capacity rises linearly to its full value.
};

/// Serves the requests of the sidecars with a configurable behaviour, and records them in a ledger.
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
    /// Takes the server down or up. While it is down, its open connections and all new ones are reset. A
    /// server that comes back starts cold.
    void set_down(bool down);

    struct Counts {
        std::uint64_t arrived = 0, served = 0, errors = 0, turned_away = 0, resets = 0, silent = 0, pings = 0;
        std::size_t most_at_work = 0, open = 0;
        std::vector<std::uint64_t> seconds;  ///< Arrivals in each second since start_seconds().
    };
    Counts counts();
    /// Starts the per-second series of arrivals.
    void start_seconds();

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;
    Task accept();
    Task serve(ConnectionPtr connection);
    /// Answers the connection's request and returns whether the connection stays open.
    asio::awaitable<bool> answer(Connection& connection);
    /// Returns the current share of the full capacity.
    double capacity() const;
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
