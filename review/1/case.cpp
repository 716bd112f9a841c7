// A crowd of clients connects, and each of them stops in the middle of its request's body. Meanwhile sound clients send
// small requests, each on a new connection, and wait for their final answers.
#include "standins.hpp"

using namespace standins;

namespace {

constexpr int kServers = 12;
constexpr int kCrowd = 2000;         // "crowds of thousands"
constexpr int kMemoryMb = 96;        // "half the memory
constexpr int kSockets = 512;        //  and descriptors"
constexpr int kRequests = 40;        // of the sound clients, one every 250 ms
constexpr double kGrace = 500 + 50;  // after a request's time; every limit is 50 ms longer

void serve(int socket, int number) {
    Reader reader(socket);
    for (;;) {
        Message request;
        if (reader.message(request) != Read::complete) break;
        const std::string id = request.field("request-id");
        record("server s-%d runs request %s", number, id.c_str());
        sleep_ms(150);
        if (!send_all(socket, ok(id))) break;
    }
    ::close(socket);
}

// Connects the crowd. Each client sends a head and the first bytes of the body, and stays until the sidecar ends it.
void crowd(int port) {
    std::vector<pollfd> clients;
    for (int i = 0; i < kCrowd; ++i) {
        const int socket = connect_to(port);
        if (socket < 0) {
            if (errno == EMFILE) finish(2, "too few descriptors for the crowd");
            continue;
        }
        send_all(socket, request_head(next_id(), "add-note", 2000, 1000) + "the first bytes");
        clients.push_back({socket, POLLIN, 0});
    }
    record("crowd: %zu clients have connected and stop half way", clients.size());
    std::size_t open = clients.size();
    for (const double end = now() + 60000; open > 0 && now() < end;) {
        ::poll(clients.data(), clients.size(), 100);
        for (pollfd& client : clients) {
            char answer[1000];
            if (client.fd < 0 || client.revents == 0 || ::recv(client.fd, answer, sizeof answer, MSG_DONTWAIT) > 0) continue;
            ::close(client.fd);
            client.fd = -1;
            if (--open % 200 == 0) record("crowd: the sidecar has ended all but %zu clients", open);
        }
    }
}

// How a request ended for its client. One that is shut unread may be sent once more, so it is not lost.
enum class End { answered, unread, lost };

End request(int port, const std::string& request_class, int timeout_ms) {
    const std::string id = next_id();
    const std::size_t body = request_class == "fetch-scan" ? 0 : 100;
    const int socket = connect_to(port);
    if (socket < 0 || !send_all(socket, request_head(id, request_class, timeout_ms, body) + std::string(body, 'x')))
        return End::unread;
    const double sent = now();
    Message answer;
    const Read result = Reader(socket).message(answer, sent + timeout_ms + kGrace);
    ::close(socket);
    record("client: %s %s, sent at %.1f ms, Request-Timeout-Ms %d: %s", request_class.c_str(), id.c_str(), sent, timeout_ms,
           result == Read::complete    ? answer.first_line.c_str()
           : result == Read::timed_out ? "no answer 550 ms after its time"
                                       : "the connection was ended");
    if (result == Read::complete) return End::answered;
    return result == Read::closed && answer.first_line.empty() ? End::unread : End::lost;
}

}  // namespace

int main(int, char** arguments) {
    ::signal(SIGPIPE, SIG_IGN);
    record_file.open(arguments[2]);
    Discovery discovery;
    std::vector<std::unique_ptr<Listener>> listeners;
    for (int i = 1; i <= kServers; ++i) {
        listeners.push_back(std::make_unique<Listener>([i](int socket) { serve(socket, i); }));
        discovery.add({"s-" + std::to_string(i), listeners.back()->port(), i % 2 ? "akl-dc" : "chc-dc",
                       i % 4 < 2 ? "fast-2core" : "slow-2core", i / 4});
    }
    const int port = start_sidecar(arguments[1], discovery, kMemoryMb, kSockets);
    for (const char* request_class : {"fetch-scan", "add-note", "accession"})
        if (request(port, request_class, 2000) != End::answered) finish(2, "a first request was not answered");

    std::vector<std::thread> threads;
    if (trouble()) threads.emplace_back([port] { crowd(port); });
    sleep_ms(500);
    std::atomic<int> lost{0}, unread{0};
    const std::pair<const char*, int> classes[] = {{"fetch-scan", 2500}, {"add-note", 2000}, {"accession", 3000}};
    for (int i = 0; i < kRequests; ++i) {
        threads.emplace_back([&, i] {
            const End end = request(port, classes[i % 3].first, classes[i % 3].second);
            lost += end == End::lost;
            unread += end == End::unread;
        });
        sleep_ms(250);
    }
    for (std::thread& thread : threads) thread.join();
    finish(lost > 0 ? 1 : 0, std::to_string(lost) + " of " + std::to_string(kRequests) +
                                 " requests of sound clients had no final answer half a second after their time (" +
                                 std::to_string(unread) + " were shut unread)");
}
