#include "process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace jasminelead::support {

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_path) {
    std::vector<char*> argv;
    argv.push_back(const_cast<char*>(program.c_str()));
    for (const std::string& argument : arguments) {
        argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&m_pid, program.c_str(), &files, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&files);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), "cannot start " + program);
    }
}

process::~process() {
    if (m_pid > 0) {
        signal(SIGKILL);
        wait();
    }
}

process::process(process&& other) noexcept : m_pid{std::exchange(other.m_pid, -1)} {}

process& process::operator=(process&& other) noexcept {
    std::swap(m_pid, other.m_pid);
    return *this;
}

void process::signal(int number) const {
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

int process::wait() {
    if (m_pid <= 0) {
        return 0;
    }
    int status = 0;
    while (::waitpid(m_pid, &status, 0) < 0 && errno == EINTR) {
    }
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace jasminelead::support
