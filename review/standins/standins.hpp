// Stand-ins for discovery, scan servers and clients, and the start of one sidecar. Everything listens on 127.0.0.1, on
// ports that the system chooses. Each case includes this header and decides how its servers answer.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;

// ---- Time, record, results ----

inline const Clock::time_point started = Clock::now();
/// Milliseconds since the start of the case.
inline double now() { return std::chrono::duration<double, std::milli>(Clock::now() - started).count(); }
inline void sleep_ms(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }

inline std::ofstream record_file;
inline std::mutex record_mutex;
/// Writes one line, with the time, to record.txt.
template <class... Arguments>
void record(const char* format, Arguments... arguments) {
    char text[1000];
    std::snprintf(text, sizeof text, format, arguments...);
    char line[1100];
    std::snprintf(line, sizeof line, "%10.1f ms  %s\n", now(), text);
    const std::lock_guard lock(record_mutex);
    record_file << line << std::flush;
}

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline pid_t sidecar = 0;
/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
[[noreturn]] inline void finish(int code, const std::string& why) {
    if (sidecar > 0) {
        ::kill(sidecar, SIGKILL);
        ::waitpid(sidecar, nullptr, 0);
    }
    const char* verdict = code == 1 ? "RULE BROKEN" : code == 0 ? "RULE HELD" : "COULD NOT RUN";
    record("%s: %s", verdict, why.c_str());
    std::printf("%s: %s\n", verdict, why.c_str());
    std::fflush(stdout);
    std::_Exit(code);
}

// ---- Sockets ----

inline int listen_anywhere(int& port) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (listener < 0 || ::bind(listener, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        ::listen(listener, 512) != 0)
        finish(2, "cannot listen");
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    return listener;
}

inline int free_port() {
    int port = 0;
    ::close(listen_anywhere(port));
    return port;
}

/// Returns a connected socket, or -1.
inline int connect_to(int port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline bool send_all(int socket, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Closes a socket with a reset, as the end of a process or the return of a machine does.
inline void reset(int socket) {
    const linger at_once{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(socket);
}

// ---- HTTP ----

struct Message {
    std::string first_line;
    std::map<std::string, std::string> fields;  // names in lower case
    std::string body;

    std::string field(const std::string& name) const {
        const auto at = fields.find(name);
        return at == fields.end() ? "" : at->second;
    }
    std::string target() const {
        const auto from = first_line.find(' ') + 1;
        return first_line.substr(from, first_line.find(' ', from) - from);
    }
    int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

/// How a read ended.
enum class Read { complete, closed, timed_out };

/// Reads messages from one connection. Bytes beyond a message are kept for the next one.
class Reader {
public:
    explicit Reader(int socket) : socket_(socket) {}

    /// Reads a head. Times are those of now(); infinity if no limit is given.
    Read head(Message& message, double until = 1e18) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            const Read result = more(until);
            if (result != Read::complete) return result;
        }
        parse_head(message, buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        return Read::complete;
    }
    /// Reads a body with a length or chunks; what has arrived of it stays in message.body if the read fails.
    Read body(Message& message, double until = 1e18) {
        if (message.field("transfer-encoding") == "chunked") return chunks(message, until);
        const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        return bytes(message.body, length, until);
    }
    Read message(Message& message, double until = 1e18) {
        const Read result = head(message, until);
        return result == Read::complete ? body(message, until) : result;
    }
    Read bytes(std::string& into, std::size_t length, double until = 1e18) {
        while (into.size() < length) {
            if (buffer_.empty()) {
                const Read result = more(until);
                if (result != Read::complete) return result;
            }
            const std::size_t part = std::min(buffer_.size(), length - into.size());
            into.append(buffer_, 0, part);
            buffer_.erase(0, part);
        }
        return Read::complete;
    }

private:
    Read chunks(Message& message, double until) {
        for (;;) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                const Read result = more(until);
                if (result != Read::complete) return result;
            }
            const std::size_t length = std::strtoul(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, end + 2);
            std::string chunk;
            Read result = bytes(chunk, length + 2, until);
            message.body += chunk.substr(0, length);
            if (result != Read::complete || length == 0) return result;
        }
    }
    static void parse_head(Message& message, const std::string& head) {
        std::size_t from = 0;
        bool first = true;
        while (from <= head.size()) {
            const std::size_t end = std::min(head.find("\r\n", from), head.size());
            const std::string line = head.substr(from, end - from);
            from = end + 2;
            const auto colon = line.find(':');
            if (std::exchange(first, false)) {
                message.first_line = line;
            } else if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                message.fields[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
            }
        }
    }
    Read more(double until) {
        char part[16384];
        pollfd entry{socket_, POLLIN, 0};
        const double left = until - now();
        if (left < 1e9 && ::poll(&entry, 1, left > 0 ? static_cast<int>(left) + 1 : 0) == 0) return Read::timed_out;
        const ssize_t count = ::recv(socket_, part, sizeof part, 0);
        if (count <= 0) return Read::closed;
        buffer_.append(part, static_cast<std::size_t>(count));
        return Read::complete;
    }

    int socket_;
    std::string buffer_;
};

inline std::string ok(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// Accepts connections for the whole life of the process and serves each in a thread of its own.
class Listener {
public:
    explicit Listener(std::function<void(int socket)> serve) : socket_(listen_anywhere(port_)) {
        std::thread([this, serve = std::move(serve)] {
            for (;;) {
                const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0) continue;
                const int on = 1;
                ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([serve, socket] { serve(socket); }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }

private:
    int port_ = 0;
    int socket_;
};

// ---- Discovery ----

struct Server {
    std::string id;
    int port = 0;
    std::string zone;
    std::string kind;
    int cell = 0;
};

/// Answers GET /catalog/members, with and without `from` and `hold_ms`. Its list does not change once the sidecar runs.
class Discovery {
public:
    Discovery() : listener_([this](int socket) { serve(socket); }) {}

    void add(const Server& server) {
        const std::lock_guard lock(mutex_);
        servers_.push_back(server);
    }
    std::string full_list() {
        const std::lock_guard lock(mutex_);
        return list();
    }
    int port() const { return listener_.port(); }

private:
    std::string list() const {
        std::string entries;
        for (const Server& server : servers_) {
            entries += (entries.empty() ? "" : ",") + std::string("{\"id\":\"") + server.id + "\",\"addr\":\"127.0.0.1:" +
                       std::to_string(server.port) + "\",\"zone\":\"" + server.zone + "\",\"kind\":\"" + server.kind +
                       "\",\"cell\":" + std::to_string(server.cell) +
                       ",\"state\":\"Ready\",\"weight\":1.0,\"started_ms\":0}";
        }
        return "{\"version\":" + std::to_string(kVersion) + ",\"full\":true,\"servers\":[" + entries + "]}";
    }
    static double parameter(const std::string& target, const std::string& name) {
        const auto at = target.find(name + "=");
        return at == std::string::npos ? -1 : std::atof(target.c_str() + at + name.size() + 1);
    }
    void serve(int socket) {
        Reader reader(socket);
        for (;;) {
            Message request;
            if (reader.message(request) != Read::complete) break;
            const double from = parameter(request.target(), "from");
            const double hold = std::clamp(parameter(request.target(), "hold_ms"), 0.0, 60000.0);
            const bool is_watch = from >= kVersion;
            if (is_watch) sleep_ms(hold);  // the list never changes
            const std::string answer =
                ok(is_watch ? "{\"version\":" + std::to_string(kVersion) + ",\"full\":false,\"servers\":[]}" : full_list());
            record("discovery: %s -> %s", request.target().c_str(), is_watch ? "no change" : "the whole list");
            if (!send_all(socket, answer)) break;
        }
        ::close(socket);
    }

    static constexpr int kVersion = 41;

    std::mutex mutex_;
    std::vector<Server> servers_;
    Listener listener_;
};

// ---- The sidecar ----

/// The settings that the platform gives a sidecar of a small deployment: those of the example in the operators' pages,
/// with the classes, limits and rules of the site.
inline std::string settings() {
    return R"({"azs":["akl-dc","chc-dc"],"my-zone":"akl-dc","my-number":0,"siblings":4,
"classes":[
{"name":"fetch-scan","effect":"repeatable","dedup-scope":"all","dedup-window-ms":5000.0,"give-up-ms":2500.0,"on-time-ms":750.0,"credit":2.0,"late-value":0.0,"stream":false},
{"name":"add-note","effect":"by_key","dedup-scope":"cell","dedup-window-ms":1200.0,"give-up-ms":2000.0,"on-time-ms":1000.0,"credit":2.0,"late-value":0.0,"stream":false},
{"name":"accession","effect":"once","dedup-scope":"all","dedup-window-ms":5000.0,"give-up-ms":3000.0,"on-time-ms":1200.0,"credit":6.0,"late-value":0.0,"stream":false}],
"clients":{"marks-retry":true},"domain-type":"mesh","membership-mode":"on_request","models":["fast-2core","slow-2core"],
"fees":{"cross-zone":0.03,"late-fail":0.034,"membership-mode":0.01,"probe":0.004,"waste":0.053},
"limits":{"connect-timeout-ms":250.0,"idle-close-ms":60000.0,"max-attempts":5,"max-open":20000,"max-retry-after-ms":1500.0,"may-cancel":true,"may-probe":true,"may-tell":false,"parallel-tries":false,"retry-after":true,"streams-per-conn":1},
"over-share-worth":0.1,"report":{"fields":["avg_ms","rps","err_rps","active"],"via":"pull"},
"rules":{"ask-within-ms":10000.0,"cold-from":0.16,"fall-ms":3000.0,"fall-multiple":4.0,"grace-to-answer-ms":20.0,"stop-sending-within-ms":300.0,"warm-within-ms":23000.0},
"tenants":[{"name":"akl-museum-herb","quota-per-s":46.0,"share":0.28},{"name":"canterbury-herb","quota-per-s":35.0,"share":0.21}],
"weights":"rough","worth-by":"request"})";
}

/// Starts the sidecar with the deploy file's `run` (MOTHRING_RUN) and waits until it is ready. Returns its port.
inline int start_sidecar(const std::string& folder, Discovery& discovery, int memory_mb = 192, int sockets = 1024) {
    const int port = free_port();
    const std::string listen = "127.0.0.1:" + std::to_string(port);
    const std::string at = "127.0.0.1:" + std::to_string(discovery.port());
    std::ofstream(folder + "/config.json")
        << "{\"name\":\"n1\",\"listen\":\"" << listen << "\",\"discovery\":\"" << at
        << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
        << memory_mb << ",\"sockets\":" << sockets << "},\"known\":" << discovery.full_list() << ",\"settings\":" << settings() << "}";
    const char* run = std::getenv("MOTHRING_RUN");
    if (run == nullptr) finish(2, "MOTHRING_RUN is not set");
    sidecar = ::fork();
    if (sidecar == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however the case ends
        const rlimit descriptors{static_cast<rlim_t>(sockets), static_cast<rlim_t>(sockets)};
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
        ::setenv("LB_NAME", "n1", 1);
        ::setenv("LB_LISTEN", listen.c_str(), 1);
        ::setenv("LB_DISCOVERY", at.c_str(), 1);
        ::setenv("LB_CONFIG", (folder + "/config.json").c_str(), 1);
        ::setenv("TMPDIR", folder.c_str(), 1);
        if (std::freopen((folder + "/log").c_str(), "w", stderr) == nullptr) ::_exit(126);
        ::execl("/bin/sh", "sh", "-c", run, static_cast<char*>(nullptr));
        ::_exit(127);
    }
    record("the sidecar is started: %s", run);
    for (int tries = 0; tries < 300; ++tries) {
        const int socket = connect_to(port);
        if (socket >= 0) {
            Message answer;
            send_all(socket, "GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
            const Read result = Reader(socket).message(answer, now() + 1000);
            ::close(socket);
            if (result == Read::complete && answer.status() == 200) return port;
        }
        sleep_ms(50);
    }
    finish(2, "the sidecar is not ready");
}

// ---- Requests ----

inline std::string next_id() {
    static std::atomic<unsigned> count{0};
    char id[40];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(::getpid()), ++count);
    return id;
}

/// The head of a request in the form of its class. `body` is the length of its body.
inline std::string request_head(const std::string& id, const std::string& request_class, int timeout_ms,
                                std::size_t body) {
    std::string head = (request_class == "fetch-scan" ? "GET /" : "POST /") + request_class +
                       "/sheet HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + request_class +
                       "\r\nTenant: akl-museum-herb\r\nRequest-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
    if (request_class == "add-note") head += "Idempotency-Key: 5c0f6e1a2b3d4c59" + id + "\r\n";
    if (request_class != "fetch-scan") head += "Content-Length: " + std::to_string(body) + "\r\n";
    return head + "\r\n";
}

}  // namespace standins
