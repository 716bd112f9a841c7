/// @file
/// Errors for invalid settings.
#include <cmath>
#include <stdexcept>
#include <string>

#include "support/policy_harness.hpp"

namespace mothring::test {
namespace {

TEST(SettingsValidation, NamesTheInvalidSetting) {
    const auto message_for = [](auto change) -> std::string {
        Settings settings = make_settings();
        change(settings);
        try {
            Balancer balancer(settings, 1);
        } catch (const std::invalid_argument& error) {
            return error.what();
        }
        return "";
    };
    EXPECT_EQ(message_for([](Settings&) {}), "");
    EXPECT_NE(message_for([](Settings& settings) { settings.classes.clear(); }).find("classes"),
              std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) {
                  settings.classes[0].latency_objective = 0;
              }).find("classes[0].aim"),
              std::string::npos);
    EXPECT_NE(
        message_for([](Settings& settings) { settings.classes[0].latency_objective = NAN; }).find("aim"),
        std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) { settings.classes[0].priority_weight = -1; }).find("worth"),
              std::string::npos);
    EXPECT_NE(
        message_for([](Settings& settings) { settings.slow_start_min_capacity = -0.1; }).find("cold_from"),
        std::string::npos);
    EXPECT_NE(
        message_for([](Settings& settings) { settings.slow_start_window = INFINITY; }).find("warm_within"),
        std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) { settings.classes[0].zones.emplace(); }).find("zones"),
              std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) { settings.classes[0].kinds.emplace(); }).find("kinds"),
              std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) { settings.resubscribe_within = -1; }).find("ask_within"),
              std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) { settings.tenant_quotas = {-1}; }).find("tenant_shares"),
              std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) { settings.over_quota_weight = 2; }).find("over_share"),
              std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) { settings.fleet_size = 0; }).find("siblings"),
              std::string::npos);
    EXPECT_NE(message_for([](Settings& settings) { settings.max_attempts = 0; }).find("max_attempts"),
              std::string::npos);
}

}  // namespace
}  // namespace mothring::test
