#include "soak/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <thread>

#include "soak/clock.h"

namespace jasminelead::soak {
namespace {

constexpr int accept_queue = 512;
constexpr int lowest_port = 20000;
// Programs that run at the same time rarely share a range, so that the port of a stopped listener
// stays free.
constexpr int port_ranges = 60;
constexpr int ports_per_range = 200;
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

listener::listener(handler serve, std::uint16_t port)
    : m_port{port == 0 ? free_port() : port}, m_serve{std::move(serve)} {
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
