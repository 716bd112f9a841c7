// What the tests over several processes share: a lab with a fleet of real sidecars in a folder of its own.
// They wait for events; limits of time only end a test that hangs. The lab kills and reaps its children.
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
    // Waits for the end of a request while the lab goes on.
    Clients::Result wait_for_result(std::future<Clients::Result>& asked) {
        EXPECT_TRUE(lab->until(
            [&] { return asked.wait_for(std::chrono::seconds(0)) == std::future_status::ready; }, 20000));
        return asked.get();
    }
    Clients::Result send_and_wait(std::size_t sidecar, std::size_t class_index = 0,
                                  const std::string& key = "") {
        auto asked = lab->clients().ask(lab->scenario().sidecar_name(sidecar), class_index, key);
        return wait_for_result(asked);
    }
};

}  // namespace mothring::lab::test
