#include "lab/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read_until.hpp>
#include <cerrno>
#include <istream>
#include <system_error>

namespace mothring::lab {

namespace {

Usage usage_of(const rusage& r) {
    const auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    return {seconds(r.ru_utime) + seconds(r.ru_stime), static_cast<std::uint64_t>(r.ru_maxrss)};
}

}  // namespace

Usage own_usage() {
    rusage r{};
    ::getrusage(RUSAGE_SELF, &r);
    return usage_of(r);
}

// Reads the child's output from a pipe. A pending read keeps it alive after the Child object is destroyed.
struct Child::Output : std::enable_shared_from_this<Output> {
    Output(asio::io_context& io, int fd, const std::filesystem::path& path, OnEvent event)
        : pipe(io, fd), log(path, std::ios::app), on_event(std::move(event)) {}
    void read() {
        asio::async_read_until(pipe, buffer, '\n',
                               [self = shared_from_this()](error_code failed, std::size_t) {
                                   if (failed) {
                                       if (failed != asio::error::operation_aborted && self->on_end)
                                           self->on_end();
                                       return;
                                   }
                                   std::istream stream(&self->buffer);
                                   std::string line;
                                   std::getline(stream, line);
                                   self->log << line << std::endl;
                                   const auto event = nlohmann::json::parse(line, nullptr, false);
                                   if (event.is_object() && self->on_event) self->on_event(event);
                                   self->read();
                               });
    }
    asio::posix::stream_descriptor pipe;
    asio::streambuf buffer;
    std::ofstream log;
    OnEvent on_event;
    // Called when the child has closed its output, so it is ending or has ended.
    std::function<void()> on_end;
};

Child::Child(asio::io_context& io, const std::vector<std::string>& argv,
             const std::map<std::string, std::string>& environment, const std::filesystem::path& log,
             OnEvent on_event) {
    // All memory is allocated before the fork, because another thread may hold the allocator's lock during
    // it.
    std::vector<std::string> variables;
    for (char** at = environ; *at; ++at) {
        const std::string variable = *at;
        if (!environment.contains(variable.substr(0, variable.find('=')))) variables.push_back(variable);
    }
    for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
    std::vector<char*> env, args;
    for (std::string& variable : variables) env.push_back(variable.data());
    env.push_back(nullptr);
    std::vector<std::string> arguments = argv;
    for (std::string& argument : arguments) args.push_back(argument.data());
    args.push_back(nullptr);
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (pid_ == 0) {
        ::setpgid(0, 0);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) ::_exit(126);  // The parent died before prctl() took effect.
        sigset_t none;
        sigemptyset(&none);
        ::sigprocmask(SIG_SETMASK, &none, nullptr);
        ::dup2(ends[1], STDERR_FILENO);
        ::dup2(ends[1], STDOUT_FILENO);
        const int null = ::open("/dev/null", O_RDONLY);
        ::dup2(null, STDIN_FILENO);
        ::close_range(3, ~0U, 0);
        ::execve(args[0], args.data(), env.data());
        ::_exit(127);
    }
    ::setpgid(pid_, pid_);  // Parent and child both set the group, so that it exists whichever runs first.
    ::close(ends[1]);
    output_ = std::make_shared<Output>(io, ends[0], log, std::move(on_event));
    output_->on_end = [this] { reap(); };
    output_->read();
}

Child::~Child() {
    output_->on_end = nullptr;
    output_->on_event = nullptr;
    if (running()) {
        ::kill(-pid_, SIGKILL);
        reap();
    }
    error_code ignored;
    output_->pipe.close(ignored);
}

void Child::signal(int number) const {
    if (running()) ::kill(pid_, number);
}

void Child::reap() {
    if (status_) return;
    int status = 0;
    rusage r{};
    while (::wait4(pid_, &status, 0, &r) < 0 && errno == EINTR) {
    }
    final_usage_ = usage_of(r);
    status_ = status;
}

Usage Child::usage() const {
    if (status_) return final_usage_;
    Usage usage;
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream rest(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int field = 3; field < 14 && rest >> skipped; ++field) {
    }
    double user = 0, system = 0;
    rest >> user >> system;  // Fields 14 and 15 of /proc/PID/stat (see proc(5)), in clock ticks.
    usage.cpu_s = (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    std::ifstream statm("/proc/" + std::to_string(pid_) + "/statm");
    std::uint64_t size = 0, resident = 0;
    statm >> size >> resident;
    usage.memory_kb = resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)) / 1024;
    return usage;
}

}  // namespace mothring::lab
