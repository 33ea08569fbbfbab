#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

/// Blocking sockets on loopback addresses.
namespace jasminelead::soak {

inline constexpr double forever = 1e12;

/// Listens on the port, or on a free one when it is 0. Negative on failure.
int listen_on(std::uint16_t& port);
/// A port below those that the system gives to outgoing connections.
std::uint16_t free_port();
std::string address_of(std::uint16_t port);
/// Negative on failure.
int connect_to(std::uint16_t port);
bool send_all(int fd, const std::string& bytes);

/// Reads up to an end mark or a size; empty when the connection ends or the time is over.
class stream_reader {
public:
    explicit stream_reader(int fd) : m_fd{fd} {}
    std::optional<std::string> until(const std::string& end, double deadline);
    std::optional<std::string> exactly(std::size_t size, double deadline);

private:
    bool more(double deadline);

    int m_fd;
    std::string m_bytes;
};

/// Accepts connections and serves each in a thread of its own, until the process ends.
class listener {
public:
    using handler = std::function<void(int fd)>;
    explicit listener(handler serve, std::uint16_t port = 0);
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /// New connections are refused from now on.
    void stop();
    /// Accepts connections again at the same port.
    void resume();

private:
    void run(int fd);

    std::uint16_t m_port = 0;
    int m_fd = -1;
    handler m_serve;
};

}  // namespace jasminelead::soak
