/// @file
/// Stand-ins shared by the cases 6 to 10 of the second review: the record of a run, sockets on loopback, scan
/// servers, discovery, and the processes of the sidecar. Blocking sockets and threads; all waits are bounded.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

// ---- Time -------------------------------------------------------------------------------------------------

using Clock = std::chrono::steady_clock;
inline const Clock::time_point start_of_run = Clock::now();
/// Seconds since the start of the run.
inline double now() { return std::chrono::duration<double>(Clock::now() - start_of_run).count(); }
inline void sleep_for(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until(double at) { sleep_for(at - now()); }

// ---- The record -------------------------------------------------------------------------------------------

/// Writes lines with the time since the start of the run to the file that $RECORD names.
class Record {
public:
    Record() : file_(std::fopen(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt", "w")) {}
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        const std::lock_guard lock(mutex_);
        if (!file_) return;
        std::fprintf(file_, "%9.4f ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};
inline Record record;

/// Whether the run has its disruption: not with TROUBLE=0.
inline bool has_trouble() {
    const char* const trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

// ---- Sockets ----------------------------------------------------------------------------------------------

/// Owns a connected socket. Every read and write ends at a time limit.
class Stream {
public:
    explicit Stream(int socket = -1) : socket_(socket) {}
    Stream(Stream&& other) noexcept : socket_(std::exchange(other.socket_, -1)), in_(std::move(other.in_)) {}
    Stream& operator=(Stream&& other) noexcept {
        close();
        socket_ = std::exchange(other.socket_, -1);
        in_ = std::move(other.in_);
        return *this;
    }
    ~Stream() { close(); }

    /// Connects to a loopback port. A small receive buffer makes the peer notice how fast this side reads.
    static Stream connect(int port, int receive_buffer = 0) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receive_buffer > 0)
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(socket);
            return Stream();
        }
        return Stream(socket);
    }
    bool is_open() const { return socket_ >= 0; }
    int native() const { return socket_; }
    void close() {
        if (socket_ >= 0) ::close(socket_);
        socket_ = -1;
    }
    void reset() {
        const linger at_once{1, 0};
        if (socket_ >= 0) ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close();
    }

    /// Returns whether everything was written by the time limit.
    bool write(const std::string& bytes, double until) {
        std::size_t done = 0;
        while (done < bytes.size()) {
            if (!wait(POLLOUT, until)) return false;
            const ssize_t count =
                ::send(socket_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0 && errno != EAGAIN && errno != EINTR) return false;
            if (count > 0) done += static_cast<std::size_t>(count);
        }
        return true;
    }
    enum class Read { some, end, reset, late };
    /// Reads at most `most` bytes into the buffer `in()`.
    Read read_some(double until, std::size_t most = 65536) {
        while (true) {
            if (!wait(POLLIN, until)) return Read::late;
            std::string piece(most, '\0');
            const ssize_t count = ::recv(socket_, piece.data(), piece.size(), MSG_DONTWAIT);
            if (count > 0) {
                in_.append(piece.data(), static_cast<std::size_t>(count));
                return Read::some;
            }
            if (count == 0) return Read::end;
            if (errno != EAGAIN && errno != EINTR) return Read::reset;
        }
    }
    std::string& in() { return in_; }

private:
    bool wait(short events, double until) {
        while (socket_ >= 0) {
            const double left = until - now();
            if (left <= 0) return false;
            pollfd entry{socket_, events, 0};
            const int ready = ::poll(&entry, 1, std::max(1, static_cast<int>(std::min(left, 0.2) * 1000)));
            if (ready > 0) return true;
            if (ready < 0 && errno != EINTR) return false;
        }
        return false;
    }
    int socket_;
    std::string in_;
};

// ---- HTTP -------------------------------------------------------------------------------------------------

struct Message {
    std::string first_line;
    std::map<std::string, std::string> fields;  // names in lower case
    std::string body;
    std::string field(const std::string& name) const {
        const auto at = fields.find(name);
        return at == fields.end() ? "" : at->second;
    }
    int status() const { return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9); }
};

inline Message parse_head(const std::string& head) {
    Message message;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        if (message.first_line.empty()) {
            message.first_line = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return message;
}

/// Reads a head; nullopt if the stream ends or the time is over before it is complete.
inline std::optional<Message> read_head(Stream& stream, double until, Stream::Read* why = nullptr) {
    while (true) {
        const auto end = stream.in().find("\r\n\r\n");
        if (end != std::string::npos) {
            Message message = parse_head(stream.in().substr(0, end + 2));
            stream.in().erase(0, end + 4);
            return message;
        }
        const Stream::Read read = stream.read_some(until);
        if (why) *why = read;
        if (read != Stream::Read::some) return std::nullopt;
    }
}

/// Reads a body with a length or in chunks. Returns whether it is whole.
inline bool read_body(Stream& stream, Message& message, double until) {
    const auto fill = [&](std::size_t count) {
        while (stream.in().size() < count)
            if (stream.read_some(until) != Stream::Read::some) return false;
        return true;
    };
    if (message.field("transfer-encoding") != "chunked") {
        const std::size_t length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        if (!fill(length)) return false;
        message.body = stream.in().substr(0, length);
        stream.in().erase(0, length);
        return true;
    }
    while (true) {
        std::size_t end;
        while ((end = stream.in().find("\r\n")) == std::string::npos)
            if (stream.read_some(until) != Stream::Read::some) return false;
        const std::size_t size = std::strtoul(stream.in().c_str(), nullptr, 16);
        stream.in().erase(0, end + 2);
        if (!fill(size + 2)) return false;
        message.body += stream.in().substr(0, size);
        stream.in().erase(0, size + 2);
        if (size == 0) return true;
    }
}

inline std::string response(int status, const std::string& body, const std::string& fields = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A request as the application writes it (PROTOCOL, "The application to its sidecar").
inline std::string fetch_request(const std::string& id, int timeout_ms, bool close = false) {
    return "GET /fetch-scan HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id +
           "\r\nRequest-Class: fetch-scan\r\nTenant: akl-museum-herb\r\nRequest-Timeout-Ms: " +
           std::to_string(timeout_ms) + "\r\n" + (close ? "Connection: close\r\n" : "") + "\r\n";
}

// ---- Servers ----------------------------------------------------------------------------------------------

/// Accepts connections on a loopback port and runs a handler for each in a thread of its own.
class Listener {
public:
    using Handler = std::function<void(Stream&)>;
    explicit Listener(Handler handler) : handler_(std::move(handler)) {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        if (::bind(socket_, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(socket_, 512) != 0 ||
            ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
            record.line("a stand-in cannot listen");
            std::_Exit(kCouldNotRun);
        }
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    void accept() {
        while (true) {
            const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                if (errno == EINTR || errno == ECONNABORTED) continue;
                return;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, socket] {
                Stream stream(socket);
                handler_(stream);
            }).detach();
        }
    }
    Handler handler_;
    int socket_ = -1;
    int port_ = 0;
};

/// A scan server: reads requests one at a time and calls `answer` for each. `answer` writes to the stream and
/// returns whether the connection stays open.
class ScanServer {
public:
    using Answer = std::function<bool(Stream&, const Message&)>;
    ScanServer(std::string id, Answer answer)
        : id(std::move(id)), answer_(std::move(answer)), listener_([this](Stream& stream) { serve(stream); }) {}
    int port() const { return listener_.port(); }

    const std::string id;
    std::string zone = "akl-dc";
    int pod = 0;

private:
    void serve(Stream& stream) {
        while (true) {
            auto request = read_head(stream, now() + 60);
            if (!request || !read_body(stream, *request, now() + 60)) return;
            record.line("server %s got: %s id=%s timeout-ms=%s", id.c_str(), request->first_line.c_str(),
                        request->field("request-id").c_str(), request->field("request-timeout-ms").c_str());
            if (!answer_(stream, *request)) return;
        }
    }
    Answer answer_;
    Listener listener_;
};

/// An entry of discovery's list.
struct Entry {
    std::string id, address, zone, state;
    int pod = 0;
};

/// Discovery: the whole list, and watches that wait until something newer than their version exists.
class Discovery {
public:
    explicit Discovery(std::vector<Entry> entries)
        : entries_(std::move(entries)), listener_([this](Stream& stream) { serve(stream); }) {}
    std::string address() const { return listener_.address(); }
    std::string whole_list() {
        const std::lock_guard lock(mutex_);
        return list(0, true);
    }

private:
    std::string list(int from, bool full) const {
        std::string servers;
        for (const Entry& entry : entries_) {
            const auto changed = changed_.find(entry.id);
            if (!full && (changed == changed_.end() || changed->second <= from)) continue;
            servers += std::string(servers.empty() ? "" : ",") + "{\"id\":\"" + entry.id + "\",\"addr\":\"" +
                       entry.address + "\",\"zone\":\"" + entry.zone +
                       "\",\"kind\":\"fast-2core\",\"cell\":" + std::to_string(entry.pod) + ",\"state\":\"" +
                       entry.state + "\",\"weight\":1.0,\"started_ms\":0}";
        }
        return "{\"version\":" + std::to_string(version_) + ",\"full\":" + (full ? "true" : "false") +
               ",\"servers\":[" + servers + "]}";
    }
    void serve(Stream& stream) {
        while (true) {
            const auto call = read_head(stream, now() + 60);
            if (!call) return;
            const auto value = [&](const char* name) {
                const auto at = call->first_line.find(name);
                return at == std::string::npos ? -1
                                               : std::atoi(call->first_line.c_str() + at + std::strlen(name));
            };
            const int from = value("from="), hold = value("hold_ms=");
            std::unique_lock lock(mutex_);
            if (from >= 0 && hold > 0)
                changes_.wait_for(lock, std::chrono::milliseconds(hold), [&] { return version_ > from; });
            const std::string body = list(from, from < 0);
            lock.unlock();
            if (!stream.write(response(200, body), now() + 5)) return;
        }
    }
    std::mutex mutex_;
    std::condition_variable changes_;
    int version_ = 41;
    std::vector<Entry> entries_;
    std::map<std::string, int> changed_;
    Listener listener_;
};

// ---- The sidecar ------------------------------------------------------------------------------------------

/// Settings like those of a small deployment (WIRE, "Parameters"). `classes` is a JSON array.
inline std::string default_classes() {
    return R"([{"name":"fetch-scan","effect":"repeatable","credit":2.0,"dedup-scope":"all","dedup-window-ms":5000.0,
"give-up-ms":2500.0,"late-value":0.0,"on-time-ms":750.0,"stream":false},
{"name":"add-note","effect":"by_key","credit":2.0,"dedup-scope":"cell","dedup-window-ms":1200.0,
"give-up-ms":2000.0,"late-value":0.0,"on-time-ms":1000.0,"stream":false},
{"name":"accession","effect":"once","credit":6.0,"dedup-scope":"all","dedup-window-ms":5000.0,
"give-up-ms":3000.0,"late-value":0.0,"on-time-ms":1200.0,"stream":false}])";
}
inline std::string settings(const std::string& classes) {
    return R"({"azs":["akl-dc","chc-dc"],"my-zone":"akl-dc","my-number":0,"siblings":4,"tier":0,
"layers":["scan-api"],"domain-type":"mesh","membership-mode":"on_request","models":["fast-2core","slow-2core"],
"weights":"rough","worth-by":"request","over-share-worth":0.1,"granularity-ms":5.0,"clients":{"marks-retry":true},
"fees":{"cross-zone":0.03},"report":{"fields":["avg_ms","rps","err_rps","active"],"via":"pull"},
"limits":{"connect-timeout-ms":250.0,"idle-close-ms":60000.0,"max-attempts":5,"max-open":20000,
"max-retry-after-ms":1500.0,"may-cancel":true,"may-probe":true,"may-tell":false,"parallel-tries":false,
"retry-after":true,"streams-per-conn":1},
"rules":{"ask-within-ms":10000.0,"cold-from":0.16,"fall-ms":3000.0,"fall-multiple":4.0,
"grace-to-answer-ms":20.0,"stop-sending-within-ms":300.0,"warm-within-ms":23000.0},
"tenants":[{"name":"akl-museum-herb","quota-per-s":460.0,"share":1.0}],"classes":)" +
           classes + "}";
}

/// Returns a loopback port that is free now.
inline int free_port() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

/// What the platform tells a sidecar (DEPLOY, "What a sidecar is told").
struct Told {
    std::string discovery, known, settings;
    int listen = free_port();
    int sockets = 1024, memory_mb = 192;
    std::string seed = "8c1f30d27a5be964";
};

/// A process of the sidecar, started by the line `run` of the deploy file ($RUN_LINE) from the root
/// ($PROJECT_ROOT), with a folder of $CASE_FOLDER for its files.
class Sidecar {
public:
    explicit Sidecar(const Told& told, const std::string& name = "n1")
        : listen(told.listen), operators(free_port()) {
        static std::atomic<int> processes{0};
        const std::string folder = std::getenv("CASE_FOLDER") ? std::getenv("CASE_FOLDER") : "/tmp";
        const std::string temporary = folder + "/tmp";  // common to the processes of one sidecar
        ::mkdir(temporary.c_str(), 0700);
        const std::string number = std::to_string(++processes);
        const std::string config = folder + "/config-" + number + ".json";
        const std::string at = "127.0.0.1:" + std::to_string(listen);
        const std::string call_at = "127.0.0.1:" + std::to_string(operators);
        std::ofstream(config) << "{\"name\":\"" << name << "\",\"listen\":\"" << at << "\",\"discovery\":\""
                              << told.discovery << "\",\"seed\":\"" << told.seed << "\",\"operator\":\""
                              << call_at << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << told.memory_mb
                              << ",\"sockets\":" << told.sockets << "},\"known\":" << told.known
                              << ",\"settings\":" << told.settings << "}";
        const std::string log = folder + "/log-" + number;
        const std::string run = std::getenv("RUN_LINE") ? std::getenv("RUN_LINE") : "exec build/mothring";
        const std::string root = std::getenv("PROJECT_ROOT") ? std::getenv("PROJECT_ROOT") : ".";
        const pid_t parent = ::getpid();
        pid = ::fork();
        if (pid > 0) started().push_back(pid);
        if (pid != 0) return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
        if (::getppid() != parent || ::chdir(root.c_str()) != 0) ::_exit(126);
        ::setenv("LB_NAME", name.c_str(), 1);
        ::setenv("LB_LISTEN", at.c_str(), 1);
        ::setenv("LB_DISCOVERY", told.discovery.c_str(), 1);
        ::setenv("LB_OPERATOR", call_at.c_str(), 1);
        ::setenv("LB_CONFIG", config.c_str(), 1);
        ::setenv("TMPDIR", temporary.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;
    void send_signal(int number) {
        if (!ended_) ::kill(pid, number);
    }
    bool has_ended() {
        if (!ended_ && ::waitpid(pid, &status_, WNOHANG) == pid) {
            ended_ = true;
            std::erase(started(), pid);
        }
        return ended_;
    }
    /// Waits until `GET path` at a port answers 200. Returns whether it does within 10 s.
    bool wait_for(int port, const std::string& path) {
        for (const double limit = now() + 10; now() < limit && !has_ended(); sleep_for(0.02)) {
            Stream stream = Stream::connect(port);
            if (!stream.is_open()) continue;
            if (!stream.write("GET " + path + " HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n", now() + 1))
                continue;
            const auto head = read_head(stream, now() + 1);
            if (head && head->status() == 200) return true;
        }
        return false;
    }
    bool is_healthy() { return wait_for(listen, "/_health"); }
    bool is_ready() { return wait_for(operators, "/ready"); }

    /// The processes that were started, for finish().
    static std::vector<pid_t>& started() {
        static std::vector<pid_t> pids;
        return pids;
    }

    const int listen;
    const int operators;
    pid_t pid = -1;

private:
    bool ended_ = false;
    int status_ = 0;
};

/// Writes the verdict and ends the sidecars and this process; threads of stand-ins may still wait.
[[noreturn]] inline void finish(int code, const std::string& why) {
    record.line("%s: %s", code == kBroken ? "BROKEN" : code == kHeld ? "HELD" : "COULD NOT RUN", why.c_str());
    std::printf("%s: %s\n", code == kBroken ? "broken" : code == kHeld ? "held" : "could not run", why.c_str());
    std::fflush(stdout);
    for (const pid_t pid : Sidecar::started()) ::kill(pid, SIGKILL);
    for (const pid_t pid : Sidecar::started()) ::waitpid(pid, nullptr, 0);
    std::_Exit(code);
}

/// Ends the case if it takes too long.
inline void limit_run(double seconds) {
    std::thread([seconds] {
        sleep_for(seconds);
        finish(kCouldNotRun, "the case took too long");
    }).detach();
}

}  // namespace rig
