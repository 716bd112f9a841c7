// Whether two of them see each other, by the kernel's locks alone.
#include "node/twin.hpp"

#include <filesystem>
#include <memory>

#include "net_rig.hpp"

namespace mothring::node::test {
namespace {

TEST(Twins, SeeEachOtherWhileBothLive) {
    const std::string folder =
        (std::filesystem::temp_directory_path() / ("whinledge-twins-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directories(folder);
    const Twin one(folder, "n1"), stranger(folder, "n2");
    EXPECT_FALSE(one.other_lives());
    auto two = std::make_unique<Twin>(folder, "n1");
    EXPECT_TRUE(one.other_lives());
    EXPECT_TRUE(two->other_lives());
    EXPECT_FALSE(stranger.other_lives());
    two.reset();
    EXPECT_FALSE(one.other_lives());
    const Twin nowhere(folder + "/none", "n1");
    EXPECT_FALSE(nowhere.other_lives());
    std::filesystem::remove_all(folder);
}

// Beside another process everything that is limited is halved, and no longer once it is gone.
TEST_F(NetRig, BesideAnotherProcessItTakesHalf) {
    Tcp::endpoint listen = Tcp::acceptor(io, any_port).local_endpoint();
    Config config =
        read_config(config_json(agent.address(), list_json(41, true, {{"s-a", a.address()}}), "40"));
    config.listen = listen;
    config.operators = any_port;
    sidecar.emplace(io, config);
    for (int i = 0; i < 8; ++i) client();
    for (auto& c : clients) c.send("GET /_health HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    const auto ended = [&] {
        return std::count_if(clients.begin(), clients.end(), [](const auto& c) { return c.ended; });
    };
    until([&] {
        return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return !c.answers.empty(); });
    });
    EXPECT_LE(ended(), 1);  // one slot is kept free
    std::optional<Sidecar> other(std::in_place, io, config);
    EXPECT_TRUE(other->halved());
    until([&] { return sidecar->halved() && ended() >= 4; });
    other.reset();
    until([&] { return !sidecar->halved(); });
}

}  // namespace
}  // namespace mothring::node::test
