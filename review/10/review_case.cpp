// Case 10: the path between a sidecar and a fifth of the scan servers falls silent for 5 s while long answers are
// passed on. The sidecar cuts off the answers that those servers still give.
#include "rig.hpp"

namespace {

constexpr int kServers = 5;
constexpr int kClients = 10;
constexpr int kTimeout = 2000;
constexpr std::size_t kLength = 1024 * 1024;  // bytes of an answer
constexpr std::size_t kPiece = 16 * 1024;
constexpr double kRate = 256 * 1024;    // bytes a second at which a scan server produces an answer: 4 s for each
constexpr double kSilentAfter = 1.5;    // s after the first requests
constexpr double kSilence = 5.0;        // s; the pages name 6

/// A path to a scan server that can fall silent: bytes wait, connections stay open, no new ones come up.
class Path {
public:
    explicit Path(int server) : server_(server), listener_([this](rig::Stream& in) { relay(in); }) {}
    int port() const { return listener_.port(); }
    void set_silent(bool silent) { silent_ = silent; }

private:
    void relay(rig::Stream& in) {
        wait();
        rig::Stream out = rig::Stream::connect(server_);
        std::thread back([&] { pump(out, in); });
        pump(in, out);
        back.join();
    }
    void wait() {
        while (silent_) rig::sleep_for(0.005);
    }
    void pump(rig::Stream& from, rig::Stream& to) {
        std::string buffer(kPiece, '\0');
        while (true) {
            const ssize_t count = ::recv(from.native(), buffer.data(), buffer.size(), 0);
            wait();
            if (count <= 0) break;
            if (!to.write(buffer.substr(0, static_cast<std::size_t>(count)), rig::now() + 30)) break;
        }
        ::shutdown(to.native(), SHUT_WR);
        if (from.native() >= 0) ::shutdown(from.native(), SHUT_RD);
    }
    int server_;
    std::atomic<bool> silent_{false};
    rig::Listener listener_;
};

std::mutex mutex;
std::map<std::string, std::string> served_by;  // the scan server of each request

}  // namespace

int main() {
    rig::limit_run(60);
    std::list<rig::ScanServer> servers;
    std::list<Path> paths;
    std::vector<rig::Entry> entries;
    for (int i = 0; i < kServers; ++i) {
        const std::string name = "server_" + std::to_string(i);
        servers.emplace_back(name, [name](rig::Stream& stream, const rig::Message& request) {
            const std::string id = request.field("request-id");
            {
                const std::lock_guard lock(mutex);
                served_by[id] = name;
            }
            bool open = stream.write(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLength) + "\r\n\r\n", rig::now() + 30);
            double due = rig::now();
            for (std::size_t done = 0; open && done < kLength; done += kPiece) {
                open = stream.write(std::string(kPiece, 'x'), rig::now() + 30);
                due += kPiece / kRate;
                rig::sleep_until(due);
            }
            rig::record.line("server %s: %s %s", name.c_str(), id.c_str(),
                             open ? "given whole" : "could not be given whole: the sidecar has ended the connection");
            return open;
        });
        paths.emplace_back(servers.back().port());
        entries.push_back({name, "127.0.0.1:" + std::to_string(paths.back().port()),
                           i % 2 ? "chc-dc" : "akl-dc", "Ready", i / 3});
    }
    rig::Discovery discovery(entries);
    rig::Told told{discovery.address(), discovery.whole_list(), rig::settings(rig::default_classes())};
    rig::Sidecar sidecar(told);
    if (!sidecar.is_healthy()) rig::finish(rig::kCouldNotRun, "the sidecar did not start");

    std::atomic<int> whole{0}, cut{0}, others{0};
    const double began = rig::now();
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, i] {
            rig::sleep_until(began + 0.02 * i);
            const std::string id = "c" + std::to_string(i) + "-1";
            rig::Stream stream = rig::Stream::connect(sidecar.listen);
            rig::record.line("client sent %s", id.c_str());
            const double until = rig::now() + 25;
            const bool written = stream.write(rig::fetch_request(id, kTimeout), until);
            const auto head = written ? rig::read_head(stream, until) : std::nullopt;
            if (!head || head->status() != 200) {
                ++others;
                rig::record.line("client: %s got %d", id.c_str(), head ? head->status() : 0);
                return;
            }
            const std::size_t length = std::strtoul(head->field("content-length").c_str(), nullptr, 10);
            auto read = rig::Stream::Read::some;
            while (stream.in().size() < length && read == rig::Stream::Read::some) read = stream.read_some(until);
            const bool is_whole = stream.in().size() >= length;
            (is_whole ? whole : cut)++;
            rig::record.line("client: %s got %zu of %zu bytes, then %s", id.c_str(), stream.in().size(), length,
                             is_whole                           ? "its end"
                             : read == rig::Stream::Read::late ? "nothing more"
                                                                : "the sidecar ended the connection");
        });
    }
    rig::sleep_until(began + kSilentAfter);
    // The path to fall silent is one that carries an answer now: one of five, a fifth.
    std::string silent;
    {
        const std::lock_guard lock(mutex);
        if (!served_by.empty()) silent = served_by.begin()->second;
    }
    if (silent.empty()) rig::finish(rig::kCouldNotRun, "no request reached a scan server");
    if (rig::has_trouble()) {
        auto path = std::next(paths.begin(), silent.back() - '0');
        rig::record.line("the path to %s falls silent", silent.c_str());
        path->set_silent(true);
        rig::sleep_for(kSilence);
        path->set_silent(false);
        rig::record.line("the path to %s carries again", silent.c_str());
    }
    for (std::thread& client : clients) client.join();
    rig::sleep_for(1);

    // Neither a scan server nor a path ends a connection within an answer here, so only the sidecar cuts one off.
    const std::string counts = std::to_string(whole) + " answers whole, " + std::to_string(cut) +
                               " cut off by the sidecar, " + std::to_string(others) + " others";
    if (whole == 0) rig::finish(rig::kCouldNotRun, counts);
    rig::finish(cut > 0 ? rig::kBroken : rig::kHeld, counts);
}
