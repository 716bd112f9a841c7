// Case 6: a planned restart while long answers are passed on. A request that arrives over 0.7 s after SIGTERM, on a
// connection that stayed open, is taken and unanswered when SIGKILL comes.
#include "rig.hpp"

namespace {

constexpr int kClients = 6;
constexpr double kRate = 128 * 1024;           // bytes a second that a client reads; the pages allow 64 kB/s
constexpr double kTermAt = 4.0;                // after the first requests
constexpr double kLongestDeadline = 3.0;       // the longest give-up-ms of the settings
constexpr double kKillAfter = kLongestDeadline + 0.7;
constexpr double kExcused = 0.7;               // later requests have to be answered before SIGKILL
constexpr int kTimeout = 2000;
constexpr std::size_t kLong = 1024 * 1024;     // of a next answer; 8 s at the client's rate

struct Exchange {
    std::string id;
    double sent = 0;
    std::string end;  // whole, refused, failed, closed unheard, cut
    std::size_t got = 0, length = 0;
};

std::mutex mutex;
std::map<std::string, std::size_t> lengths;  // of the answer to each request
std::map<std::string, double> forwarded;     // when a scan server got it
std::vector<Exchange> exchanges;

// Sends one request and reads its answer. Returns whether the connection may be used for another one.
bool exchange(rig::Stream& stream, const std::string& id, double until) {
    Exchange record{id, 0, "cut", 0, 0};
    bool reusable = false;
    const bool written = stream.write(rig::fetch_request(id, kTimeout), until);
    record.sent = rig::now();
    rig::record.line("client sent %s", id.c_str());
    const auto head = written ? rig::read_head(stream, until) : std::nullopt;
    if (!head) {
        record.end = "closed unheard";
    } else if (head->status() != 200) {
        record.end = head->status() == 503 || head->status() == 429 ? "refused" : "failed";
    } else {
        record.length = std::strtoul(head->field("content-length").c_str(), nullptr, 10);
        record.got = stream.in().size();
        stream.in().clear();
        double due = rig::now();
        while (record.got < record.length) {
            if (stream.read_some(until, 8192) != rig::Stream::Read::some) break;
            const std::size_t count = stream.in().size();
            stream.in().clear();
            record.got += count;
            due = std::max(due, rig::now() - 0.05) + static_cast<double>(count) / kRate;
            rig::sleep_until(due);
        }
        if (record.got == record.length) record.end = "whole";
        reusable = record.end == "whole" && head->field("connection") != "close";
    }
    rig::record.line("client: %s ended: %s, %zu of %zu bytes, connection %s", id.c_str(), record.end.c_str(),
                     record.got, record.length, reusable ? "kept" : "not kept");
    const std::lock_guard lock(mutex);
    exchanges.push_back(record);
    return reusable;
}

}  // namespace

int main() {
    rig::limit_run(60);
    const auto answer = [](rig::Stream& stream, const rig::Message& request) {
        const std::string id = request.field("request-id");
        std::size_t length;
        {
            const std::lock_guard lock(mutex);
            forwarded[id] = rig::now();
            length = lengths.count(id) ? lengths[id] : kLong;
        }
        return stream.write(rig::response(200, std::string(length, 'x')), rig::now() + 40);
    };
    std::list<rig::ScanServer> servers;
    std::vector<rig::Entry> entries;
    for (int i = 0; i < 4; ++i) {
        servers.emplace_back("server_" + std::to_string(i), answer);
        entries.push_back({servers.back().id, "127.0.0.1:" + std::to_string(servers.back().port()),
                           i % 2 ? "chc-dc" : "akl-dc", "Ready", i / 2});
    }
    rig::Discovery discovery(entries);
    rig::Told told{discovery.address(), discovery.whole_list(), rig::settings(rig::default_classes())};
    rig::Sidecar sidecar(told);
    if (!sidecar.is_healthy()) rig::finish(rig::kCouldNotRun, "the sidecar did not start");

    // Each client has one connection. Its first answer is long and ends, for most, 1 to 3 s after SIGTERM.
    const double began = rig::now();
    const double term_at = began + kTermAt, kill_at = term_at + kKillAfter;
    const double stop_sending = rig::has_trouble() ? kill_at : term_at + 3.0;
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        const double ends_at = kTermAt + 1.0 + 0.35 * i;
        {
            const std::lock_guard lock(mutex);
            lengths["c" + std::to_string(i) + "-1"] = static_cast<std::size_t>(ends_at * kRate);
        }
        clients.emplace_back([&, i] {
            rig::Stream stream = rig::Stream::connect(sidecar.listen, 16 * 1024);
            for (int n = 1; stream.is_open() && rig::now() < stop_sending; ++n) {
                const std::string id = "c" + std::to_string(i) + "-" + std::to_string(n);
                if (!exchange(stream, id, rig::now() + 25)) return;
            }
        });
    }
    bool alive_at_kill = false;
    if (rig::has_trouble()) {
        rig::sleep_until(term_at);
        rig::record.line("platform: SIGTERM");
        sidecar.send_signal(SIGTERM);
        rig::sleep_until(kill_at);
        alive_at_kill = !sidecar.has_ended();
        rig::record.line("platform: SIGKILL, the sidecar was %s", alive_at_kill ? "alive" : "gone");
        sidecar.send_signal(SIGKILL);
    }
    for (std::thread& client : clients) client.join();

    int later = 0, lost = 0, first_not_whole = 0;
    for (const Exchange& each : exchanges) {
        const bool is_later = each.sent > term_at + kExcused;
        if (!is_later) {
            first_not_whole += each.end != "whole";
            continue;
        }
        ++later;
        // A request that no answer reached counts only if it was read, which a scan server's copy proves.
        const bool was_taken = forwarded.count(each.id) > 0;
        if (was_taken && (each.end == "cut" || each.end == "closed unheard")) {
            ++lost;
            rig::record.line("LOST: %s was sent %.2f s after SIGTERM, forwarded, and unanswered at SIGKILL",
                             each.id.c_str(), each.sent - term_at);
        }
    }
    const std::string counts = std::to_string(exchanges.size()) + " requests, " + std::to_string(later) +
                               " of them over 0.7 s after SIGTERM, " + std::to_string(lost) + " lost";
    if (!rig::has_trouble() && first_not_whole + lost > 0)
        rig::finish(rig::kBroken, "answers were not whole without a disruption: " + counts);
    rig::finish(lost > 0 ? rig::kBroken : rig::kHeld, counts);
}
