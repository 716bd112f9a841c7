/// @file
/// Simulates the client application beside each sidecar. Requests arrive in an open loop. A connection
/// carries one request at a time and is reused; a new one is opened if all existing connections are busy. One
/// thread serves the clients of all sidecars.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "lab/asio.hpp"
#include "lab/stats.hpp"

namespace mothring::lab {

/// A request class as the clients send it.
struct ClientClass {
    std::string name;
    Idempotency effect = Idempotency::always;
    Millis on_time = 750, timeout = 2500;
    double share = 1;  ///< Weight of this class among the arrivals of all classes.
};

/// Sends the requests of the simulated client applications and counts the results for each sidecar.
class Clients {
public:
    /// `rate` is the mean number of arrivals per second at each sidecar; arrivals are a Poisson process.
    Clients(std::vector<ClientClass> classes, double rate, std::uint64_t seed);
    ~Clients();

    // The functions below may be called from any thread.

    /// Adds the client application of a sidecar that listens at `address`.
    void add(const std::string& sidecar, const std::string& zone, const Tcp::endpoint& address);
    /// Starts the arrivals; second 0 of the tallies begins now.
    void start();
    /// Stops new arrivals. Requests in flight continue until they end.
    void stop();
    void set_rate(double rate);
    /// Returns the number of requests that were sent and have not ended.
    std::size_t in_flight();

    /// The result of a single request.
    struct Result {
        End end = End::lost;
        Millis latency = 0;
        std::string id, server, zone;
    };
    /// Sends one request now, independently of the arrivals, and returns a future of its result. A `key` that
    /// is not empty is sent in the header Scan-Key.
    std::future<Result> ask(const std::string& sidecar, std::size_t class_index, const std::string& key = "");

    std::map<std::string, ClientTally> tallies();

private:
    struct Application {
        std::string name, zone;
        std::uint64_t number = 0;
        Tcp::endpoint address;
        std::vector<std::unique_ptr<Tcp::socket>> idle;
        ClientTally tally;
    };
    Task arrivals(Application& application);
    Task request(Application& application, std::size_t class_index, std::string key,
                 std::shared_ptr<std::promise<Result>> promise);
    asio::awaitable<Result> exchange(Application& application, const ClientClass& request_class,
                                     std::string key);
    void count(Application& application, const Result& result, const ClientClass& request_class, Millis sent);
    std::size_t draw_class();
    Millis elapsed() const;

    Worker worker_;
    std::vector<ClientClass> classes_;
    double rate_;
    std::mt19937_64 random_;
    std::map<std::string, Application> applications_;
    std::chrono::steady_clock::time_point start_{};
    bool running_ = false, started_ = false;
    std::uint64_t next_id_ = 1;
    std::size_t in_flight_ = 0;
};

}  // namespace mothring::lab
