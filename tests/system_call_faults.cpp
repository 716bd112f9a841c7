#include "system_call_faults.hpp"

#include <dlfcn.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <map>
#include <utility>
#include <vector>

namespace mothring::test {
namespace {

struct Fault {
    int error = 0;
    int times = 0;               // failures still to inject
    std::size_t most_bytes = 0;  // 0: no limit
    Ports ports;
    int failed = 0, made = 0;
};

struct State {
    std::array<Fault, 7> faults;
    int unbounded_waits = 0;
    bool armed = false;
};
State state;

Fault& fault_of(SystemCall call) { return state.faults[static_cast<std::size_t>(call)]; }

std::uint16_t port_of(const sockaddr* address) {
    if (address->sa_family != AF_INET) return 0;
    return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
}

/// The epoll queue and the event with which each descriptor was registered.
std::map<int, std::pair<int, epoll_event>>& epoll_registrations() {
    static std::map<int, std::pair<int, epoll_event>> all;
    return all;
}

template <class Get>
std::uint16_t port_by(Get get, int socket) {
    sockaddr_storage storage{};
    socklen_t size = sizeof storage;
    auto* const address = reinterpret_cast<sockaddr*>(&storage);
    return get(socket, address, &size) == 0 ? port_of(address) : 0;
}

bool matches(const Ports& ports, int socket) {
    if (ports.local != 0 && port_by(::getsockname, socket) != ports.local) return false;
    return ports.peer == 0 || port_by(::getpeername, socket) == ports.peer;
}

/// Counts a matching call and returns whether it fails; errno is set then.
bool fails(Fault& fault) {
    ++fault.made;
    if (fault.times == 0) return false;
    --fault.times;
    ++fault.failed;
    errno = fault.error;
    return true;
}

/// Returns how many bytes the call may transfer.
std::size_t shortened(SystemCall call, int socket, std::size_t size) {
    const Fault& fault = fault_of(call);
    if (!state.armed || fault.most_bytes == 0 || !matches(fault.ports, socket)) return size;
    return std::min(size, fault.most_bytes);
}

template <class Function>
Function next(const char* name);

/// Makes an edge-triggered epoll queue report the descriptor again. By epoll(7) it reports a descriptor once,
/// and not again before a call has returned EAGAIN. If a fault stops a call earlier than the kernel would
/// have, the event has to be armed again.
void rearm_epoll(int socket) {
    static const auto real = next<decltype(&::epoll_ctl)>("epoll_ctl");
    const int saved = errno;
    const auto at = epoll_registrations().find(socket);
    if (at != epoll_registrations().end()) real(at->second.first, EPOLL_CTL_MOD, socket, &at->second.second);
    errno = saved;
}

bool fails(SystemCall call, int socket) {
    if (!state.armed) return false;
    Fault& fault = fault_of(call);
    if (!matches(fault.ports, socket) || !fails(fault)) return false;
    if (fault.error == EAGAIN) rearm_epoll(socket);
    return true;
}

ssize_t rearm_after_cut(ssize_t moved, SystemCall call, int socket) {
    const bool was_cut = moved > 0 && fault_of(call).most_bytes == static_cast<std::size_t>(moved);
    if (state.armed && was_cut && matches(fault_of(call).ports, socket)) rearm_epoll(socket);
    return moved;
}

/// Returns the parts of the message, cut off at the number of bytes that the call may transfer.
std::vector<iovec> shortened(SystemCall call, int socket, const msghdr& message) {
    std::vector<iovec> parts;
    std::size_t left = shortened(call, socket, static_cast<std::size_t>(-1));
    for (std::size_t i = 0; i < message.msg_iovlen && left > 0; ++i) {
        parts.push_back(message.msg_iov[i]);
        parts.back().iov_len = std::min(parts.back().iov_len, left);
        left -= parts.back().iov_len;
    }
    return parts;
}

/// Returns the library's function. Callers look it up at the first call, as the sanitizers' interceptors are
/// not available before.
template <class Function>
Function next(const char* name) {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

SystemCallFaults::SystemCallFaults() { state = {}, state.armed = true; }
SystemCallFaults::~SystemCallFaults() { state = {}; }

void SystemCallFaults::fail(SystemCall call, int error, int times, Ports ports) {
    Fault& fault = fault_of(call);
    fault = {};
    fault.error = error;
    fault.times = times;
    fault.ports = ports;
}
void SystemCallFaults::limit_bytes(SystemCall call, std::size_t most_bytes, Ports ports) {
    Fault& fault = fault_of(call);
    fault = {};
    fault.most_bytes = most_bytes;
    fault.ports = ports;
}
int SystemCallFaults::failure_count(SystemCall call) const { return fault_of(call).failed; }
int SystemCallFaults::call_count(SystemCall call) const { return fault_of(call).made; }
int SystemCallFaults::unbounded_wait_count() const { return state.unbounded_waits; }

}  // namespace mothring::test

// ---- The intercepted calls --------------------------------------------------------------------------------

using mothring::test::SystemCall;
namespace faults = mothring::test;

extern "C" {

int accept(int listener, sockaddr* address, socklen_t* size) {
    static const auto real = faults::next<decltype(&::accept)>("accept");
    return faults::fails(SystemCall::accept, listener) ? -1 : real(listener, address, size);
}

int accept4(int listener, sockaddr* address, socklen_t* size, int flags) {
    static const auto real = faults::next<decltype(&::accept4)>("accept4");
    return faults::fails(SystemCall::accept, listener) ? -1 : real(listener, address, size, flags);
}

int socket(int family, int type, int protocol) noexcept {
    static const auto real = faults::next<decltype(&::socket)>("socket");
    return faults::fails(SystemCall::socket, -1) ? -1 : real(family, type, protocol);
}

int connect(int socket, const sockaddr* address, socklen_t size) {
    static const auto real = faults::next<decltype(&::connect)>("connect");
    faults::Fault& fault = faults::fault_of(SystemCall::connect);
    const bool meant =
        faults::state.armed && (fault.ports.peer == 0 || fault.ports.peer == faults::port_of(address));
    return meant && faults::fails(fault) ? -1 : real(socket, address, size);
}

int poll(pollfd* entries, nfds_t count, int timeout) {
    static const auto real = faults::next<decltype(&::poll)>("poll");
    if (faults::state.armed && timeout < 0) {
        ++faults::state.unbounded_waits;
        errno = EINTR;
        return -1;
    }
    const int first = count > 0 ? entries[0].fd : -1;
    return faults::fails(SystemCall::poll, first) ? -1 : real(entries, count, timeout);
}

int epoll_ctl(int queue, int operation, int descriptor, epoll_event* event) noexcept {
    static const auto real = faults::next<decltype(&::epoll_ctl)>("epoll_ctl");
    if (operation == EPOLL_CTL_DEL)
        faults::epoll_registrations().erase(descriptor);
    else
        faults::epoll_registrations()[descriptor] = {queue, *event};
    return real(queue, operation, descriptor, event);
}

int epoll_wait(int queue, epoll_event* events, int most, int timeout) {
    static const auto real = faults::next<decltype(&::epoll_wait)>("epoll_wait");
    return faults::fails(SystemCall::epoll_wait, queue) ? -1 : real(queue, events, most, timeout);
}

ssize_t recv(int socket, void* bytes, size_t size, int flags) {
    static const auto real = faults::next<decltype(&::recv)>("recv");
    if (faults::fails(SystemCall::receive, socket)) return -1;
    const ssize_t moved = real(socket, bytes, faults::shortened(SystemCall::receive, socket, size), flags);
    return faults::rearm_after_cut(moved, SystemCall::receive, socket);
}

ssize_t recvfrom(int socket, void* bytes, size_t size, int flags, sockaddr* from, socklen_t* from_size) {
    static const auto real = faults::next<decltype(&::recvfrom)>("recvfrom");
    if (faults::fails(SystemCall::receive, socket)) return -1;
    return real(socket, bytes, size, flags, from, from_size);
}

ssize_t recvmsg(int socket, msghdr* message, int flags) {
    static const auto real = faults::next<decltype(&::recvmsg)>("recvmsg");
    if (faults::fails(SystemCall::receive, socket)) return -1;
    auto parts = faults::shortened(SystemCall::receive, socket, *message);
    msghdr cut = *message;
    cut.msg_iov = parts.data();
    cut.msg_iovlen = parts.size();
    const ssize_t moved = real(socket, &cut, flags);
    message->msg_flags = cut.msg_flags;
    message->msg_namelen = cut.msg_namelen;
    message->msg_controllen = cut.msg_controllen;
    return faults::rearm_after_cut(moved, SystemCall::receive, socket);
}

ssize_t send(int socket, const void* bytes, size_t size, int flags) {
    static const auto real = faults::next<decltype(&::send)>("send");
    if (faults::fails(SystemCall::send, socket)) return -1;
    const ssize_t moved = real(socket, bytes, faults::shortened(SystemCall::send, socket, size), flags);
    return faults::rearm_after_cut(moved, SystemCall::send, socket);
}

ssize_t sendto(int socket, const void* bytes, size_t size, int flags, const sockaddr* to, socklen_t to_size) {
    static const auto real = faults::next<decltype(&::sendto)>("sendto");
    if (faults::fails(SystemCall::send, socket)) return -1;
    return real(socket, bytes, size, flags, to, to_size);
}

ssize_t sendmsg(int socket, const msghdr* message, int flags) {
    static const auto real = faults::next<decltype(&::sendmsg)>("sendmsg");
    if (faults::fails(SystemCall::send, socket)) return -1;
    auto parts = faults::shortened(SystemCall::send, socket, *message);
    msghdr cut = *message;
    cut.msg_iov = parts.data();
    cut.msg_iovlen = parts.size();
    return faults::rearm_after_cut(real(socket, &cut, flags), SystemCall::send, socket);
}

}  // extern "C"
