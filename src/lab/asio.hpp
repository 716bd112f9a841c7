/// @file
/// Asio support that all components of the lab share: type aliases, coroutine helpers and a worker thread
/// that runs one io_context.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <future>
#include <thread>
#include <type_traits>

#include "config/config.hpp"
#include "net/clock.hpp"

namespace mothring::lab {

namespace asio = boost::asio;
using boost::system::error_code;
using net::Tcp;
using net::to_duration;
using net::Udp;
using Task = asio::awaitable<void>;

inline const Tcp::endpoint any_tcp_port(asio::ip::address_v4::loopback(), 0);
inline const Udp::endpoint any_udp_port(asio::ip::address_v4::loopback(), 0);

/// Returns a completion token for co_await that stores the operation's error in `error` instead of throwing
/// it.
inline auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

/// Closes the connection with a TCP reset.
inline void reset_on_close(Tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// Runs one io_context on its own thread. The owner declares the worker as its first member and calls stop()
/// first in its destructor, so that the objects that the coroutines refer to outlive the coroutines.
class Worker {
public:
    Worker() : guard_(io_.get_executor()), thread_([this] { io_.run(); }) {}
    ~Worker() { stop(); }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    asio::io_context& io() { return io_; }
    void stop() {
        io_.stop();
        if (thread_.joinable()) thread_.join();
    }
    /// Runs `work` on the thread, waits for it, and returns its result or rethrows its exception.
    template <class Work>
    auto call(Work work) -> std::invoke_result_t<Work> {
        std::packaged_task<std::invoke_result_t<Work>()> task(std::move(work));
        auto result = task.get_future();
        asio::post(io_, [&task] { task(); });
        return result.get();
    }
    void spawn(Task task) { asio::co_spawn(io_, std::move(task), asio::detached); }

private:
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_;
    std::thread thread_;
};

}  // namespace mothring::lab
