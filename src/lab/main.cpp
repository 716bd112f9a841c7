/// @file
/// mothring_lab SCENARIO.toml --out DIR runs a scenario against a fleet of sidecar processes and writes
/// DIR/report.json and DIR/report.html. Exit codes: 0 on success; 1 if the scenario could not be run; 2 if
/// the scenario or the command line is invalid, in which case nothing is started; 130 after Ctrl-C, with a
/// report of the part that was run.
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include "lab/lab.hpp"
#include "lab/report.hpp"

namespace {

namespace lab = mothring::lab;

volatile std::sig_atomic_t stop_requested = 0;

void progress_line(const lab::Scenario& scenario, lab::Lab& experiment, double played) {
    lab::Tally sum;
    for (const auto& [name, tally] : experiment.clients().tallies()) sum.add(tally.all);
    std::fprintf(stderr, "\r%5.1f of %.0f s: %llu served, %llu not   ", played / 1000,
                 scenario.duration / 1000, static_cast<unsigned long long>(sum[lab::End::served]),
                 static_cast<unsigned long long>(sum.all() - sum[lab::End::served]));
}

int play(const std::filesystem::path& file, const std::filesystem::path& out,
         const std::filesystem::path& program) {
    lab::Scenario scenario;
    try {
        scenario = lab::load_scenario(file);
    } catch (const std::exception& error) {
        std::cerr << "mothring lab: " << error.what() << '\n';
        return 2;
    }
    struct sigaction act {};
    act.sa_handler = [](int) { stop_requested = 1; };
    ::sigaction(SIGINT, &act, nullptr);
    ::sigaction(SIGTERM, &act, nullptr);
    ::signal(SIGPIPE, SIG_IGN);
    try {
        const bool terminal = ::isatty(STDERR_FILENO) == 1;
        lab::Lab experiment(scenario, out, program);
        experiment.start();
        double shown = 0;
        experiment.play([&](double played) {
            if (terminal && played - shown > 500) progress_line(scenario, experiment, shown = played);
            return stop_requested == 0;
        });
        if (terminal) std::fputc('\n', stderr);
        const lab::Report report = experiment.report();
        lab::write(report, out);
        std::cout << (out / "report.json").string() << '\n' << (out / "report.html").string() << '\n';
        return report.interrupted ? 130 : 0;
    } catch (const std::exception& error) {
        std::cerr << "mothring lab: " << error.what() << '\n';
        return 1;
    }
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("mothring lab: runs a scenario against a fleet of sidecar processes");
    std::filesystem::path scenario, out, program;
    app.add_option("SCENARIO", scenario, "The scenario, a TOML file (docs/lab.md)")->required();
    app.add_option("--out", out, "Folder for the report, the sidecars' configurations and logs")->required();
    app.add_option("--program", program, "Sidecar executable (default: mothring in this program's folder)");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    if (program.empty()) program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "mothring";
    return play(scenario, out, program);
}
