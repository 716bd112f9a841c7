// The application next to each sidecar (PROTOCOL, "The application to its sidecar"): requests at open-loop
// times, one at a time on a connection, connections kept and further ones opened when all are busy. One
// thread for all of them.
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

struct ClientClass {
    std::string name;
    Idempotency effect = Idempotency::always;
    Millis on_time = 750, timeout = 2500;
    double share = 1;  // of the arrivals, against the other classes' shares
};

class Clients {
public:
    // `rate`: arrivals a second at each sidecar, Poisson.
    Clients(std::vector<ClientClass> classes, double rate, std::uint64_t seed);
    ~Clients();

    // All may be called from any thread. A sidecar's name, its zone, and where it listens.
    void add(const std::string& sidecar, const std::string& zone, const Tcp::endpoint& address);
    void start();  // arrivals, and the second 0 of the tallies
    void stop();   // of new arrivals; what is out goes on to its end
    void set_rate(double rate);
    std::size_t out();  // requests sent and not ended

    // One request now, apart from the arrivals; its end is told by the future.
    struct Result {
        End end = End::lost;
        Millis latency = 0;
        std::string id, server, zone;
    };
    // `key`: sent as the header Scan-Key where it is not empty.
    std::future<Result> ask(const std::string& sidecar, std::size_t class_index, const std::string& key = "");

    std::map<std::string, ClientTally> tallies();

private:
    struct Side {
        std::string name, zone;
        std::uint64_t number = 0;
        Tcp::endpoint address;
        std::vector<std::unique_ptr<Tcp::socket>> idle;
        ClientTally tally;
    };
    Task arrivals(Side& side);
    Task request(Side& side, std::size_t class_index, std::string key,
                 std::shared_ptr<std::promise<Result>> told);
    asio::awaitable<Result> exchange(Side& side, const ClientClass& kind, std::string key);
    void count(Side& side, const Result& result, const ClientClass& kind, Millis sent);
    std::size_t draw();
    Millis elapsed() const;

    Worker worker_;
    std::vector<ClientClass> classes_;
    double rate_;
    std::mt19937_64 random_;
    std::map<std::string, Side> sides_;
    std::chrono::steady_clock::time_point start_{};
    bool running_ = false, started_ = false;
    std::uint64_t next_id_ = 1;
    std::size_t out_ = 0;
};

}  // namespace mothring::lab
