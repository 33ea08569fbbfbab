#include "soak/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "soak/clock.h"

namespace jasminelead::soak {
namespace {

constexpr int accept_queue = 512;
constexpr int lowest_port = 20000;
constexpr int port_ranges = 300;
constexpr int ports_per_range = 40;
// The port of a restarted endpoint may still be in use by a connection that closes.
constexpr double listen_retry_ms = 20;

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    return at;
}

void send_at_once(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

struct caller_table {
    std::mutex lock;
    std::map<pid_t, std::string> hosts;
};

caller_table& callers() {
    static caller_table table;
    return table;
}

/// The name that /proc gives the socket with this local port.
std::string socket_name(std::uint16_t port) {
    std::array<char, 16> local{};
    std::snprintf(local.data(), local.size(), ":%04X", port);
    std::string name;
    std::ifstream table{"/proc/self/net/tcp"};
    for (std::string line; std::getline(table, line);) {
        if (line.find(local.data()) == std::string::npos) {
            continue;
        }
        std::istringstream words{line};
        const std::vector<std::string> columns{std::istream_iterator<std::string>{words}, {}};
        if (columns.size() > 9 && columns[1].ends_with(local.data()) && columns[3] == "01") {
            name = "socket:[" + columns[9] + "]";
        }
    }
    return name;
}

}  // namespace

int listen_on(std::uint16_t& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
        ::listen(fd, accept_queue) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

std::uint16_t free_port() {
    static std::mutex lock;
    static auto next =
        static_cast<std::uint16_t>(lowest_port + ::getpid() % port_ranges * ports_per_range);
    const std::lock_guard guard{lock};
    for (;;) {
        std::uint16_t port = next++;
        const int fd = listen_on(port);
        if (fd >= 0) {
            ::close(fd);
            return port;
        }
    }
}

std::string address_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

int connect_to(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    send_at_once(fd);
    return fd;
}

bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

void add_caller(pid_t pid, const std::string& host) {
    const std::lock_guard lock{callers().lock};
    callers().hosts[pid] = host;
}

void remove_caller(pid_t pid) {
    const std::lock_guard lock{callers().lock};
    callers().hosts.erase(pid);
}

std::string caller_of(int fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
        return "";
    }
    const std::string name = socket_name(ntohs(peer.sin_port));
    std::map<pid_t, std::string> hosts;
    {
        const std::lock_guard lock{callers().lock};
        hosts = callers().hosts;
    }
    for (const auto& [pid, host] : hosts) {
        std::error_code error;
        const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
        // A descriptor or a process may go at any time.
        auto item = std::filesystem::directory_iterator{folder, error};
        for (; !error && item != std::filesystem::directory_iterator{}; item.increment(error)) {
            std::error_code is_closed;
            if (std::filesystem::read_symlink(item->path(), is_closed).string() == name) {
                return host;
            }
        }
    }
    return "";
}

std::optional<std::string> stream_reader::until(const std::string& end, double deadline) {
    for (;;) {
        const std::size_t at = m_bytes.find(end);
        if (at != std::string::npos) {
            std::string part = m_bytes.substr(0, at);
            m_bytes.erase(0, at + end.size());
            return part;
        }
        if (!more(deadline)) {
            return std::nullopt;
        }
    }
}

std::optional<std::string> stream_reader::exactly(std::size_t size, double deadline) {
    while (m_bytes.size() < size) {
        if (!more(deadline)) {
            return std::nullopt;
        }
    }
    std::string part = m_bytes.substr(0, size);
    m_bytes.erase(0, size);
    return part;
}

bool stream_reader::more(double deadline) {
    constexpr double longest_wait_ms = 1e6;
    pollfd item{m_fd, POLLIN, 0};
    const double left = deadline - now_ms();
    if (left <= 0 || ::poll(&item, 1, static_cast<int>(std::min(left, longest_wait_ms)) + 1) <= 0) {
        return false;
    }
    std::array<char, 8192> bytes{};
    const ssize_t size = ::recv(m_fd, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        return false;
    }
    m_bytes.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

listener::listener(handler serve, std::uint16_t port) : m_port{port}, m_serve{std::move(serve)} {
    resume();
}

void listener::stop() {
    ::shutdown(m_fd, SHUT_RDWR);
}

void listener::resume() {
    m_fd = listen_on(m_port);
    while (m_fd < 0) {
        sleep_ms(listen_retry_ms);
        m_fd = listen_on(m_port);
    }
    std::thread{[this, fd = m_fd] { run(fd); }}.detach();
}

void listener::run(int fd) {
    for (;;) {
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            ::close(fd);
            return;
        }
        send_at_once(accepted);
        std::thread{[this, accepted] { m_serve(accepted); }}.detach();
    }
}

}  // namespace jasminelead::soak
