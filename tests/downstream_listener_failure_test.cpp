// What fails within the downstream side, for want of memory, costs one connection at most: its client sees
// the end of it, and never waits in vain. A call that a signal interrupts costs nothing.
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

/// From connecting on, within which the listener wants a client's first request.
constexpr Millis kFirstRequest = 2400;

/// A listener by itself. Who takes the requests has no memory for them once `no_memory` is set.
struct DownstreamListenerFailure : testing::Test {
    asio::io_context io;
    SystemCallFaults faults;
    std::shared_ptr<net::BufferBudget> budget =
        std::make_shared<net::BufferBudget>(net::BufferBudget{1 << 20});
    std::vector<DownstreamListener::IncomingRequest> arrivals;
    std::size_t gone = 0;
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
        made.on_client_disconnected = [this](RequestId) { ++gone; };
        made.on_response_ended = [](RequestId, bool) {};
        return made;
    }
    /// The loop goes on after an exception, as the program's does.
    void until(const std::function<bool()>& reached) {
        for (bool ended = false; !ended;) try {
                run_until(io, reached);
                ended = true;
            } catch (const std::bad_alloc&) {
                ++thrown;
            }
    }
    std::shared_ptr<net::BodyBuffer> stream_to_first(const std::string& body) {
        auto pipe = std::make_shared<net::BodyBuffer>(budget, body.size());
        EXPECT_GE(pipe->free_space(), body.size());
        body.copy(pipe->write_pointer(), body.size());
        pipe->commit(body.size());
        listener.stream_response(arrivals.at(0).id, DownstreamListener::ResponseHead(http::status::ok, 11),
                                 pipe);
        return pipe;
    }
    void expect_ended(const TestClient& client) {
        until([&] { return client.ended; });
        EXPECT_TRUE(client.ended);
        EXPECT_EQ(thrown, 1);
        EXPECT_EQ(gone, 1u);
        EXPECT_EQ(listener.connection_count(), 0u);
    }
};

// The loop is held up, and the rest of a request comes right before the timer's handler, which reads it.
TEST_F(DownstreamListenerFailure, NoMemoryAsTheTimeOfARequestRunsOut_endsItsConnection) {
    const std::string whole = request("listen", "id-1");
    asio::steady_timer before_it(io, SteadyClock::now() + net::to_duration(kFirstRequest));
    TestClient client(io, listener.address());
    until([&] { return listener.connection_count() == 1; });
    const auto limit = SteadyClock::now() + net::to_duration(kFirstRequest);
    client.send(whole.substr(0, 40));
    before_it.async_wait([&](error_code) { client.send(whole.substr(40)); });
    until([&] { return SteadyClock::now() > limit - std::chrono::milliseconds(100); });
    std::this_thread::sleep_until(limit + std::chrono::milliseconds(1));
    no_memory = true;
    expect_ended(client);
}

// The next request is here already, and is taken as the last byte of an answer has been written.
TEST_F(DownstreamListenerFailure, NoMemoryAfterAnAnswerIsWritten_endsItsConnection) {
    TestClient client(io, listener.address());
    client.send(request("listen", "id-1") + request("listen", "id-2"));
    until([&] { return arrivals.size() == 1; });
    no_memory = true;
    stream_to_first("served")->mark_complete();
    expect_ended(client);
    EXPECT_EQ(client.answers.size(), 1u);
}

// The same, as the answer's end is told after its last byte has been written.
TEST_F(DownstreamListenerFailure, NoMemoryAtTheEndOfAnAnswer_endsItsConnection) {
    TestClient client(io, listener.address());
    client.send(request("listen", "id-1") + request("listen", "id-2"));
    until([&] { return arrivals.size() == 1; });
    const auto pipe = stream_to_first("served");
    until([&] { return pipe->unread().empty(); });
    no_memory = true;
    EXPECT_THROW(pipe->mark_complete(), std::bad_alloc);
    thrown = 1;
    expect_ended(client);
    EXPECT_EQ(client.answers.size(), 1u);
}

// A request that came early has stood unread while the one before it waited: that counts, whether a signal
// interrupts the reads of it a few times or more often than they are repeated at once.
TEST_F(DownstreamListenerFailure, InterruptedReadOfARequestThatStoodUnread_itsTimeStillCounts) {
    constexpr Millis kStood = 100;
    constexpr int kTimeout = 5000;
    const Ports at_listener{listener.address().port(), 0};
    for (const int times : {1, 2, 3, 100}) {
        arrivals.clear();
        TestClient client(io, listener.address());
        client.send(request("listen", "id-1", kTimeout));
        until([&] { return arrivals.size() == 1; });
        faults.fail(SystemCall::receive, 0, 0, at_listener);
        client.send(request("listen", "id-2", kTimeout));
        until([&] { return faults.call_count(SystemCall::receive) > 0; });  // the listener's look at it
        const auto stood = SteadyClock::now() + net::to_duration(kStood);
        until([&] { return SteadyClock::now() > stood; });
        faults.fail(SystemCall::receive, EINTR, times, at_listener);
        listener.respond(arrivals[0].id, DownstreamListener::Response(http::status::ok, 11));
        until([&] { return arrivals.size() == 2; });
        EXPECT_EQ(faults.failure_count(SystemCall::receive), times);
        EXPECT_LE(arrivals.back().time_left, kTimeout - kStood) << times;
    }
}

}  // namespace
}  // namespace mothring::node::test
