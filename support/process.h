#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

/// Child processes for the demonstration and the load measurement.
namespace jasminelead::support {

class process {
public:
    /// Starts a program and appends its output to `log_path`. Throws std::system_error on failure.
    process(const std::string& program, const std::vector<std::string>& arguments,
            const std::string& log_path);
    ~process();
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    [[nodiscard]] pid_t id() const { return m_pid; }
    void signal(int number) const;
    /// Waits for the process. Returns its exit code, or -1 when a signal terminated it.
    int wait();

private:
    pid_t m_pid = -1;
};

}  // namespace jasminelead::support
