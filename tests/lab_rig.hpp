/// @file
/// A lab with a fleet of sidecar processes in a separate folder, for tests over several processes. The tests
/// wait for events; time limits only end a test that hangs. The lab kills and reaps its child processes.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "lab/lab.hpp"
#include "program_path.hpp"

namespace mothring::lab::test {

struct LabRig : testing::Test {
    std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                   ("mothring-lab-" + std::to_string(::getpid()) + "-" +
                                    testing::UnitTest::GetInstance()->current_test_info()->name());
    std::unique_ptr<Lab> lab;

    LabRig() { std::filesystem::create_directories(folder); }
    ~LabRig() override {
        lab.reset();
        if (!HasFailure()) std::filesystem::remove_all(folder);
    }
    Lab& start(const std::string& scenario) {
        lab = std::make_unique<Lab>(read_scenario(scenario, "test.toml"), folder,
                                    mothring::test::program_path());
        lab->start();
        return *lab;
    }
    /// Runs the lab until the request has ended, and returns its result.
    Clients::Result wait_for_result(std::future<Clients::Result>& asked) {
        EXPECT_TRUE(lab->until(
            [&] { return asked.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, 20000));
        return asked.get();
    }
    /// Sends a request to a sidecar and waits for its result.
    Clients::Result send_and_wait(std::size_t sidecar, std::size_t class_index = 0,
                                  const std::string& key = "") {
        auto asked = lab->clients().ask(lab->scenario().sidecar_name(sidecar), class_index, key);
        return wait_for_result(asked);
    }
};

}  // namespace mothring::lab::test
