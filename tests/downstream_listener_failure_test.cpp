// Lack of memory in the downstream side ends at most one connection: its client sees the connection close and
// does not wait forever. A system call interrupted by a signal has no effect.
#include <cerrno>
#include <chrono>
#include <new>
#include <thread>

#include "net/clock.hpp"
#include "net_rig.hpp"
#include "node/downstream_listener.hpp"
#include "system_call_faults.hpp"

namespace mothring::node::test {
namespace {

using mothring::test::Ports;
using mothring::test::SystemCall;
using mothring::test::SystemCallFaults;
using SteadyClock = std::chrono::steady_clock;

/// Time from connecting within which the listener requires a client's first request.
constexpr Millis kFirstRequestTimeout = 2400;

/// A listener without a sidecar. The callback that receives requests throws std::bad_alloc once `no_memory`
/// is set.
struct DownstreamListenerFailure : testing::Test {
    asio::io_context io;
    SystemCallFaults faults;
    std::shared_ptr<net::BufferBudget> budget =
        std::make_shared<net::BufferBudget>(net::BufferBudget{1 << 20});
    std::vector<DownstreamListener::IncomingRequest> arrivals;
    std::size_t disconnected_count = 0;
    bool no_memory = false;
    int thrown = 0;  // exceptions that reached the loop
    DownstreamListener listener{io, any_port, 16, false, budget, callbacks()};

    DownstreamListener::Callbacks callbacks() {
        DownstreamListener::Callbacks made;
        made.on_request = [this](DownstreamListener::IncomingRequest arrival) {
            if (no_memory) throw std::bad_alloc();
            arrivals.push_back(std::move(arrival));
        };
        made.on_body_complete = [](RequestId) {};
        made.on_client_disconnected = [this](RequestId) { ++disconnected_count; };
        made.on_response_ended = [](RequestId, bool) {};
        return made;
    }
    /// Runs the loop and continues after an exception, as the program does.
    void until(const std::function<bool()>& reached) {
        for (bool ended = false; !ended;) try {
                run_until(io, reached);
                ended = true;
            } catch (const std::bad_alloc&) {
                ++thrown;
            }
    }
    std::shared_ptr<net::BodyBuffer> stream_to_first(const std::string& body) {
        auto body_buffer = std::make_shared<net::BodyBuffer>(budget, body.size());
        EXPECT_GE(body_buffer->free_space(), body.size());
        body.copy(body_buffer->write_pointer(), body.size());
        body_buffer->commit(body.size());
        listener.stream_response(arrivals.at(0).id, DownstreamListener::ResponseHead(http::status::ok, 11),
                                 body_buffer);
        return body_buffer;
    }
    void expect_closed(const TestClient& client) {
        until([&] { return client.ended; });
        EXPECT_TRUE(client.ended);
        EXPECT_EQ(thrown, 1);
        EXPECT_EQ(disconnected_count, 1u);
        EXPECT_EQ(listener.connection_count(), 0u);
    }
};

// The event loop is delayed past a request's time limit, and the rest of the request arrives right before the
// timer's handler runs. The handler reads it and the allocation fails there.
TEST_F(DownstreamListenerFailure, NoMemoryWhenRequestTimesOut_closesItsConnection) {
    const std::string message = request("listen", "id-1");
    asio::steady_timer before_it(io, SteadyClock::now() + net::to_duration(kFirstRequestTimeout));
    TestClient client(io, listener.address());
    until([&] { return listener.connection_count() == 1; });
    const auto limit = SteadyClock::now() + net::to_duration(kFirstRequestTimeout);
    client.send(message.substr(0, 40));
    before_it.async_wait([&](error_code) { client.send(message.substr(40)); });
    until([&] { return SteadyClock::now() > limit - std::chrono::milliseconds(100); });
    std::this_thread::sleep_until(limit + std::chrono::milliseconds(1));
    no_memory = true;
    expect_closed(client);
}

// The next request is pipelined and is reported once the last byte of the current response has been written.
// The allocation fails then.
TEST_F(DownstreamListenerFailure, NoMemoryAfterResponseIsWritten_closesItsConnection) {
    TestClient client(io, listener.address());
    client.send(request("listen", "id-1") + request("listen", "id-2"));
    until([&] { return arrivals.size() == 1; });
    no_memory = true;
    stream_to_first("served")->mark_complete();
    expect_closed(client);
    EXPECT_EQ(client.answers.size(), 1u);
}

// The body of the response is marked complete only after its last byte has been written, and the allocation
// fails in that call.
TEST_F(DownstreamListenerFailure, NoMemoryWhenResponseCompletes_closesItsConnection) {
    TestClient client(io, listener.address());
    client.send(request("listen", "id-1") + request("listen", "id-2"));
    until([&] { return arrivals.size() == 1; });
    const auto body_buffer = stream_to_first("served");
    until([&] { return body_buffer->unread().empty(); });
    no_memory = true;
    EXPECT_THROW(body_buffer->mark_complete(), std::bad_alloc);
    thrown = 1;
    expect_closed(client);
    EXPECT_EQ(client.answers.size(), 1u);
}

// The time that a pipelined request waits unread behind another counts against its time-out. Guards against
// losing that time if a signal interrupts the reads, a few times or more often than the listener retries at
// once.
TEST_F(DownstreamListenerFailure, InterruptedReadOfPipelinedRequest_unreadTimeStillCounts) {
    constexpr Millis kUnreadTime = 100;
    constexpr int kTimeout = 5000;
    const Ports at_listener{listener.address().port(), 0};
    for (const int times : {1, 2, 3, 100}) {
        arrivals.clear();
        TestClient client(io, listener.address());
        client.send(request("listen", "id-1", kTimeout));
        until([&] { return arrivals.size() == 1; });
        faults.fail(SystemCall::receive, 0, 0, at_listener);
        client.send(request("listen", "id-2", kTimeout));
        until([&] { return faults.call_count(SystemCall::receive) > 0; });  // the listener has peeked at it
        const auto end_of_wait = SteadyClock::now() + net::to_duration(kUnreadTime);
        until([&] { return SteadyClock::now() > end_of_wait; });
        faults.fail(SystemCall::receive, EINTR, times, at_listener);
        listener.respond(arrivals[0].id, DownstreamListener::Response(http::status::ok, 11));
        until([&] { return arrivals.size() == 2; });
        EXPECT_EQ(faults.failure_count(SystemCall::receive), times);
        EXPECT_LE(arrivals.back().time_left, kTimeout - kUnreadTime) << times;
    }
}

}  // namespace
}  // namespace mothring::node::test
