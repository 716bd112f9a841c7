// Some scan servers go silent while they read long requests. Their clients write these requests to the last byte and
// wait for their final answers.
#include <array>

#include "standins.hpp"

using namespace standins;

namespace {

constexpr int kServers = 16;
constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::array<std::size_t, 3> kUploads{5 * kMegabyte, 6 * kMegabyte, 7 * kMegabyte};  // "bodies reach 32 MB"
constexpr std::size_t kReadBeforeSilence = 512 * 1024;
constexpr double kSilence = 20000;   // "10 to 30 s"
constexpr int kTimeout = 2000;       // the clients' Request-Timeout-Ms
constexpr double kGrace = 500 + 50;  // after a request's time; every limit is 50 ms longer

/// When each server went silent; 0 if it has not. At most 3 of 16 do (19%), each during the upload that it reads.
std::array<std::atomic<double>, kServers + 1> silent_since{};

bool is_silent(int server) { return silent_since[server] > 0 && now() < silent_since[server] + kSilence; }

void serve(int socket, int number) {
    Reader reader(socket);
    for (;;) {
        Message request;
        if (reader.head(request) != Read::complete) break;
        const std::string id = request.field("request-id");
        const std::size_t length = std::strtoul(request.field("content-length").c_str(), nullptr, 10);
        if (trouble() && length >= kUploads.front()) {
            reader.bytes(request.body, kReadBeforeSilence);
            if (!is_silent(number)) silent_since[number] = now();
            record("server s-%d goes silent: %zu of %zu bytes of request %s are read", number, request.body.size(), length,
                   id.c_str());
        }
        while (is_silent(number)) sleep_ms(50);
        if (silent_since[number] > 0) return reset(socket);  // it is back
        if (reader.body(request) != Read::complete) break;
        record("server s-%d runs request %s (%zu bytes)", number, id.c_str(), request.body.size());
        sleep_ms(200);
        if (!send_all(socket, ok(id))) break;
    }
    ::close(socket);
}

enum class End { answered, not_taken, lost };

End request(int port, const std::string& request_class, std::size_t length) {
    const int socket = connect_to(port);
    if (socket < 0) finish(2, "the sidecar accepts no connection");
    const std::string id = next_id();
    const timeval write_limit{5, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &write_limit, sizeof write_limit);
    const double began = now();
    if (!send_all(socket, request_head(id, request_class, kTimeout, length) + std::string(length, 'x'))) {
        ::close(socket);
        record("client: %s %s, %zu bytes, could not be written to the last byte", request_class.c_str(), id.c_str(), length);
        return End::not_taken;
    }
    const double sent = now();
    record("client: %s %s, %zu bytes, Request-Timeout-Ms %d, written from %.1f to %.1f ms", request_class.c_str(), id.c_str(),
           length, kTimeout, began, sent);
    Message answer;
    const Read result = Reader(socket).message(answer, sent + kTimeout + kGrace);
    ::close(socket);
    record("client: %s %s: %s, %.0f ms after the last byte", request_class.c_str(), id.c_str(),
           result == Read::complete    ? answer.first_line.c_str()
           : result == Read::timed_out ? "no final answer"
                                       : "the connection was ended without a whole answer",
           now() - sent);
    return result == Read::complete ? End::answered : End::lost;
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
    const int port = start_sidecar(arguments[1], discovery);
    for (int i = 0; i < 6; ++i)
        if (request(port, i % 2 ? "add-note" : "accession", 200) != End::answered)
            finish(2, "a small request was not answered");

    std::atomic<int> lost{0}, taken{0};
    std::vector<std::thread> clients;
    for (const std::size_t length : kUploads)
        clients.emplace_back([&, length] {
            const End end = request(port, length == kUploads[1] ? "add-note" : "accession", length);
            lost += end == End::lost;
            taken += end != End::not_taken;
        });
    for (std::thread& client : clients) client.join();
    if (taken == 0) finish(2, "no request could be written to the last byte");
    finish(lost > 0 ? 1 : 0, std::to_string(lost) + " of " + std::to_string(taken) +
                                 " long requests had no final answer half a second after their time");
}
