/// @file
/// Tests of the HTTP listener for operators: readiness, metrics and its limits.
#include <nlohmann/json.hpp>

#include "net_rig.hpp"

namespace mothring::node::test {
namespace {

using Json = nlohmann::json;

struct OperatorHttp : NetRig {
    void start_with_a_and_b() { start_with_operators({{"s-a", a.address()}, {"s-b", b.address()}}); }
    TestClient& connect() { return clients.emplace_back(io, *sidecar->operator_address()); }
    TestClient::Answer send(const std::string& bytes) {
        TestClient& c = connect();
        c.send(bytes);
        until([&] { return c.ended; });
        return c.answers.empty() ? TestClient::Answer{} : c.answers.front();
    }
    TestClient::Answer get(const std::string& path) {
        return send("GET " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
    }
    Json read_metrics() { return Json::parse(get("/metrics").body()); }
    /// Returns the sum of a counter over one request class, or over all if none is named.
    int sum(const Json& metrics, const std::string& counter, const std::string& request_class = "") {
        int total = 0;
        for (const auto& [name, counts] : metrics["requests"].items())
            if (request_class.empty() || request_class == name) total += counts[counter].get<int>();
        return total;
    }
};

TEST_F(OperatorHttp, HasNoAddressIfNoneIsConfigured) {
    start();
    EXPECT_FALSE(sidecar->operator_address());
}

TEST_F(OperatorHttp, AnswersARequestAndClosesTheConnection) {
    start_with_a_and_b();
    EXPECT_EQ(get("/ready").result_int(), 200u);
    EXPECT_EQ(get("/ready?now").result_int(), 200u);
    const auto metrics = get("/metrics");
    EXPECT_EQ(metrics.result_int(), 200u);
    EXPECT_FALSE(metrics.keep_alive());
    EXPECT_EQ(metrics["Content-Type"], "application/json");
    Json body = Json::parse(metrics.body());
    EXPECT_EQ(body["list"]["version"], 41);
    body.erase("list");
    EXPECT_EQ(body, Json::parse(R"({"requests":{
        "listen":{"served":0,"refused":0,"failed":0},"deposit":{"served":0,"refused":0,"failed":0},
        "annotate":{"served":0,"refused":0,"failed":0}},
        "attempts":0,"in_flight":0,"scan_servers_known":2,"scan_servers_excluded":0,"expected_late":0})"));
}

TEST_F(OperatorHttp, MetricsReportAgeAndVersionOfTheEndpointList) {
    start_with_a_and_b();
    until([&] { return is_watched_from("41"); });
    Json list = read_metrics()["list"];
    EXPECT_TRUE(list["age_ms"].is_null()) << "only the cached list is held";
    EXPECT_EQ(list["calls"], 1);
    send_list(list_json(42, false, {}));
    until([&] { return is_watched_from("42"); });
    list = read_metrics()["list"];
    EXPECT_EQ(list["version"], 42);
    EXPECT_EQ(list["calls"], 2);
    EXPECT_LT(list["age_ms"], 1000);
    EXPECT_EQ(list["failing"], false);
    agent.connections.back()->socket.close();
    agent.script = [](const auto&) { return Reply{response("503 Busy")}; };
    until([&] { return agent.requests.size() >= 3; });
    until([&] { return read_metrics()["list"]["failing"] == true; });
    EXPECT_EQ(read_metrics()["list"]["version"], 42) << "the held list is kept";
}

TEST_F(OperatorHttp, RejectsInvalidRequestsWithAStatus) {
    start_with_a_and_b();
    EXPECT_EQ(get("/").result_int(), 404u);
    EXPECT_EQ(get("/metrics/x").result_int(), 404u);
    const auto posted = send("POST /ready HTTP/1.1\r\nHost: ops\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_EQ(posted.result_int(), 405u);
    EXPECT_EQ(posted["Allow"], "GET");
    EXPECT_EQ(send("nonsense\r\n\r\n").result_int(), 400u);
    EXPECT_EQ(get("/" + std::string(10000, 'x')).result_int(), 431u);
    EXPECT_EQ(get("/ready").result_int(), 200u);
}

TEST_F(OperatorHttp, IsNotReadyWithoutListedServersAndWhileDraining) {
    start_with_operators({{"s-a", a.address(), "Gone"}});
    EXPECT_EQ(get("/ready").result_int(), 503u);
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, false, {{"s-a", a.address()}}));
    until([&] { return is_watched_from("42"); });
    EXPECT_EQ(get("/ready").result_int(), 200u);
    a.script = silence;
    TestClient& held = client();
    held.send(request("listen", "id-1"));
    until([&] { return a.requests.size() == 1; });
    sidecar->drain([] {});
    EXPECT_EQ(get("/ready").result_int(), 503u);
    EXPECT_EQ(read_metrics()["in_flight"], 1);
}

// Connections that stay open without a complete request, and clients that use up all client connections,
// could leave operators without a response.
TEST_F(OperatorHttp, AnswersWhileIdleConnectionsAndClientsUseUpTheirLimits) {
    start_with_operators({{"s-a", a.address()}}, "40");  // 40 sockets allow eight clients
    a.script = silence;
    for (int i = 0; i < 8; ++i) client().send(request("listen", "id-" + std::to_string(i)));
    until([&] { return a.requests.size() == 8; });
    std::vector<TestClient*> idle_connections;
    for (int i = 0; i < 100; ++i) {
        idle_connections.push_back(&connect());
        if (i % 2) idle_connections.back()->send("GET /metrics HT");
    }
    const auto began = std::chrono::steady_clock::now();
    EXPECT_EQ(get("/ready").result_int(), 200u);
    EXPECT_EQ(read_metrics()["in_flight"], 8);
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(1));
    until([&] { return idle_connections.front()->ended; });  // the oldest was closed for a new connection
    EXPECT_FALSE(idle_connections.back()->ended);
}

// A retry or a broken attempt could lead to a request being counted twice or with the wrong outcome.
TEST_F(OperatorHttp, CountsEachRequestOnceByItsOutcome) {
    start_with_a_and_b();
    const Reply rejected{response("503 Full", "", "Not-Started: 1\r\n")};
    int attempt_count = 0;
    const auto first_then = [&](const Reply& first) {
        attempt_count = 0;
        a.script = b.script = [&, first](const auto&) {
            return attempt_count++ == 0 ? first : Reply{response("200 OK", "served")};
        };
    };
    const auto always = [&](const Reply& reply) {
        a.script = b.script = [reply](const auto&) { return reply; };
    };
    always({response("200 OK", "served")});
    EXPECT_EQ(send_and_wait(request("listen", "1")).result_int(), 200u);
    first_then(rejected);  // a retry, so two attempts
    EXPECT_EQ(send_and_wait(request("deposit", "2")).result_int(), 200u);
    first_then({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true});  // broken off, so retried
    EXPECT_EQ(send_and_wait(request("listen", "3")).result_int(), 200u);
    always({response("500 Oops")});
    EXPECT_EQ(send_and_wait(request("deposit", "4")).result_int(), 502u);
    always({response("404 Who")});
    EXPECT_EQ(send_and_wait(request("listen", "5")).result_int(), 404u);
    always({"", true});
    EXPECT_EQ(send_and_wait(request("deposit", "6")).result_int(), 502u);
    const std::size_t before = server_request_count();
    EXPECT_EQ(before, 8u);
    always(rejected);
    EXPECT_EQ(send_and_wait(request("annotate", "7")).result_int(), 503u);
    always({});
    EXPECT_EQ(send_and_wait(request("deposit", "8", 60)).result_int(), 504u);
    TestClient& disconnecting = client();  // disconnects before the response
    disconnecting.send(request("listen", "9"));
    until([&] { return read_metrics()["in_flight"] == 1; });
    disconnecting.close();
    until([&] { return read_metrics()["in_flight"] == 0; });
    const Json all = read_metrics();
    EXPECT_EQ(sum(all, "served"), 3);
    EXPECT_EQ(sum(all, "served", "deposit"), 1);
    EXPECT_EQ(sum(all, "refused"), 1);
    EXPECT_EQ(sum(all, "refused", "annotate"), 1);
    EXPECT_EQ(sum(all, "failed"), 5);
    EXPECT_EQ(sum(all, "failed", "deposit"), 3);
    EXPECT_EQ(all["attempts"], server_request_count());
}

TEST_F(OperatorHttp, DoesNotCountInvalidRequestsAndHealthChecks) {
    start_with_a_and_b();
    EXPECT_EQ(send_and_wait("nonsense\r\n\r\n").result_int(), 400u);
    EXPECT_EQ(send_and_wait(request("bequest", "1")).result_int(), 404u);
    EXPECT_EQ(
        send_and_wait("PUT /listen HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout-Ms: 9\r\n\r\n").result_int(),
        400u);
    EXPECT_EQ(send_and_wait("GET /_health HTTP/1.1\r\n\r\n").result_int(), 200u);
    const Json all = read_metrics();
    EXPECT_EQ(sum(all, "served") + sum(all, "refused") + sum(all, "failed"), 0);
    EXPECT_EQ(all["in_flight"], 0);
    EXPECT_EQ(all["attempts"], 0);
}

TEST_F(OperatorHttp, CountsListedServersThatGetNoRequestsAsExcluded) {
    b.script = silence;  // a server that stops answering is ejected while the other one answers
    start_with_a_and_b();
    for (int i = 0; read_metrics()["scan_servers_excluded"] != 1; ++i) {
        ASSERT_LT(i, 20);
        std::vector<TestClient*> batch;
        for (int j = 0; j < 6; ++j) {
            batch.push_back(&client());
            batch.back()->send(request("listen", std::to_string(i) + "-" + std::to_string(j), 60));
        }
        until([&] {
            return std::all_of(batch.begin(), batch.end(), [](auto* c) { return !c->answers.empty(); });
        });
    }
    until([&] { return is_watched_from("41"); });
    send_list(list_json(42, false, {{"s-b", b.address(), "Gone"}}));
    until([&] { return is_watched_from("42"); });
    EXPECT_EQ(read_metrics()["scan_servers_known"], 1);
    EXPECT_EQ(read_metrics()["scan_servers_excluded"], 0);
    send_list(list_json(43, false, {{"s-a", a.address(), "Terminating"}}));
    until([&] { return is_watched_from("43"); });
    EXPECT_EQ(read_metrics()["scan_servers_known"], 1);
    EXPECT_EQ(read_metrics()["scan_servers_excluded"], 1);
}

}  // namespace
}  // namespace mothring::node::test
