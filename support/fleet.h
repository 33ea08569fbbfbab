#pragma once

#include <map>
#include <string>
#include <vector>

#include "process.h"

/// An installation of real processes on loopback: a platform stand-in, three groups of three
/// endpoints in three data centres, and six daemons.
namespace jasminelead::support {

class fleet {
public:
    /// `programs` is the directory of the executables. start() empties `work_directory` and writes
    /// settings and logs to it.
    fleet(std::string programs, std::string work_directory);

    /// Starts everything, imports the table and waits until all daemons are ready.
    /// Throws std::runtime_error when the table import fails or a daemon is not ready within 20 s.
    void start();
    /// Runs the CLI against the platform and the first daemon and returns its exit code.
    int ctl(const std::vector<std::string>& arguments) const;

    [[nodiscard]] const std::vector<std::string>& daemons() const { return m_daemon_addresses; }
    [[nodiscard]] const std::string& endpoint_address(const std::string& name) const {
        return m_endpoint_addresses.at(name);
    }
    process& daemon(std::size_t index) { return m_daemons.at(index); }
    process& endpoint(const std::string& name) { return m_endpoints.at(name); }
    void restart_daemon(std::size_t index);
    void restart_endpoint(const std::string& name);

private:
    void start_platform();
    void start_endpoint(const std::string& name, const std::string& primary);
    void start_daemon(std::size_t index);
    void write_host_list() const;
    void write_daemon_settings(std::size_t index) const;
    void write_table() const;
    void wait_ready() const;

    std::string m_programs;
    std::string m_work_directory;
    std::string m_platform_address;
    std::map<std::string, std::string> m_endpoint_addresses;
    std::vector<std::string> m_daemon_addresses;
    std::vector<process> m_platform;
    std::map<std::string, process> m_endpoints;
    std::vector<process> m_daemons;
};

}  // namespace jasminelead::support
