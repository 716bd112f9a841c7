// Case 7: two of eight scan servers are slow for 13 s. A sidecar whose first answer of a class came from one of them
// refuses all later requests of that class, long after the scan servers are well again.
#include <set>

#include "rig.hpp"

namespace {

constexpr int kSidecars = 4;
constexpr int kServers = 8;
constexpr std::size_t kSlowServers = 2;  // 25% of them
constexpr double kWork = 0.26;           // s for a request: work 80 to 140 ms, waits on others 100 to 190 ms
constexpr double kSlower = 8.2;          // times, 2.5 to 8.3
constexpr double kTrouble = 13;          // s, 13 to 34
constexpr int kTimeout = 2500;           // the class's give-up time
constexpr double kSparse = 2.6;          // s between requests at first
constexpr double kSettled = 5;           // s from the end of the trouble to the steady traffic that is judged
constexpr double kSteady = 0.2;          // s between requests of the steady traffic
constexpr double kJudged = 30;           // s of it
constexpr int kRejectedOnEnd = 15;       // "15 or more"
constexpr double kOnEnd = 4.0;           // s

struct Sent {
    double at = 0;
    int status = 0;
    bool is_attempted = false;  // a scan server got it
};

std::mutex mutex;
std::set<std::string> slow;
double slow_until = 0;
std::map<std::string, int> attempts;           // of each request at scan servers
std::map<int, std::vector<Sent>> judged;       // by sidecar

}  // namespace

int main() {
    rig::limit_run(110);
    std::list<rig::ScanServer> servers;
    std::vector<rig::Entry> entries;
    for (int i = 0; i < kServers; ++i) {
        const std::string name = "server_" + std::to_string(i);
        servers.emplace_back(name, [name](rig::Stream& stream, const rig::Message& request) {
            const std::string id = request.field("request-id");
            bool is_slow = false;
            {
                // The servers that turn slow are the first two to get a request.
                const std::lock_guard lock(mutex);
                ++attempts[id];
                if (slow_until == 0) slow_until = rig::now() + kTrouble;
                if (rig::has_trouble() && rig::now() < slow_until && slow.size() < kSlowServers &&
                    slow.insert(name).second)
                    rig::record.line("%s turns %.1f times slower", name.c_str(), kSlower);
                is_slow = slow.count(name) > 0 && rig::now() < slow_until;
            }
            rig::sleep_for(is_slow ? kWork * kSlower : kWork);
            return stream.write(rig::response(200, "scan of request " + id), rig::now() + 5);
        });
        entries.push_back({name, "127.0.0.1:" + std::to_string(servers.back().port()),
                           i % 2 ? "chc-dc" : "akl-dc", "Ready", i / 3});
    }
    rig::Discovery discovery(entries);
    std::list<rig::Sidecar> sidecars;
    for (int i = 0; i < kSidecars; ++i) {
        rig::Told told{discovery.address(), discovery.whole_list(), rig::settings(rig::default_classes())};
        told.seed = std::to_string(1234567 + 7919 * i);
        sidecars.emplace_back(told, "n" + std::to_string(i + 1));
    }
    for (rig::Sidecar& sidecar : sidecars)
        if (!sidecar.is_healthy()) rig::finish(rig::kCouldNotRun, "a sidecar did not start");

    const double began = rig::now();
    const double steady_at = began + kTrouble + kSettled;
    const auto request = [&](int sidecar, int listen, int n) {
        const std::string id = "n" + std::to_string(sidecar + 1) + "-" + std::to_string(n);
        Sent sent{rig::now()};
        rig::Stream stream = rig::Stream::connect(listen);
        const double until = sent.at + kTimeout / 1000.0 + 0.55;
        if (stream.write(rig::fetch_request(id, kTimeout, true), until)) {
            auto head = rig::read_head(stream, until);
            if (head && rig::read_body(stream, *head, until)) sent.status = head->status();
        }
        rig::record.line("client of n%d: %s got %d after %.3f s", sidecar + 1, id.c_str(), sent.status,
                         rig::now() - sent.at);
        if (sent.at < steady_at) return;
        const std::lock_guard lock(mutex);
        sent.is_attempted = attempts.count(id) > 0;
        judged[sidecar].push_back(sent);
    };
    std::vector<std::thread> applications;
    for (int i = 0; i < kSidecars; ++i) {
        const int listen = std::next(sidecars.begin(), i)->listen;
        applications.emplace_back([&, i, listen] {
            int n = 0;
            std::vector<std::thread> requests;
            for (double at = began; at < began + kTrouble; at += kSparse) {
                rig::sleep_until(at);
                requests.emplace_back(request, i, listen, ++n);
            }
            for (double at = steady_at; at < steady_at + kJudged; at += kSteady) {
                rig::sleep_until(at);
                requests.emplace_back(request, i, listen, ++n);
            }
            for (std::thread& each : requests) each.join();
        });
    }
    for (std::thread& application : applications) application.join();

    int rejecting = 0, until_the_end = 0;
    std::string counts;
    for (int i = 0; i < kSidecars; ++i) {
        std::vector<Sent>& all = judged[i];
        std::sort(all.begin(), all.end(), [](const Sent& left, const Sent& right) { return left.at < right.at; });
        double longest = 0, since = 0;
        int on_end = 0, most = 0, rejected = 0;
        for (const Sent& each : all) {
            const bool is_rejected = (each.status == 503 || each.status == 429) && !each.is_attempted;
            rejected += is_rejected;
            if (!is_rejected) on_end = 0;
            if (is_rejected && on_end++ == 0) since = each.at;
            if (is_rejected && on_end >= kRejectedOnEnd) longest = std::max(longest, each.at - since);
            most = std::max(most, on_end);
        }
        int reached = 0;
        for (const auto& [id, count] : attempts) reached += id.rfind("n" + std::to_string(i + 1) + "-", 0) == 0;
        rig::record.line("n%d: %zu requests from %.0f s after the trouble on, %d rejected, %d on end, %.1f s long; "
                         "%d requests in all reached a scan server",
                         i + 1, all.size(), kSettled, rejected, most, longest, reached);
        if (longest >= kOnEnd) ++rejecting;
        if (!all.empty() && rejected == static_cast<int>(all.size())) ++until_the_end;
        counts += (counts.empty() ? "rejected " : ", ") + std::to_string(rejected) + " of " +
                  std::to_string(all.size()) + " at n" + std::to_string(i + 1);
    }
    counts += "; " + std::to_string(rejecting) + " of " + std::to_string(kSidecars) +
              " sidecars rejected all for 4 s on end, " + std::to_string(until_the_end) + " all to the end";
    rig::finish(10 * rejecting > kSidecars ? rig::kBroken : rig::kHeld, counts);
}
