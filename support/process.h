#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

/// Child processes of the demonstration, ended by their ids.
namespace jasminelead::support {

class process {
public:
    /// Starts a program; its output goes to `log_path`. Throws std::system_error when it cannot.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& log_path);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    [[nodiscard]] pid_t id() const { return m_pid; }
    void signal(int number) const;
    /// Waits for the end; the exit code, or -1 when a signal ended it.
    int wait();

private:
    pid_t m_pid = -1;
};

}  // namespace jasminelead::support
