#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "daemon/fiber_stream.h"
#include "daemon/worker.h"

namespace jasminelead::proxy {

/// Accepts connections on one address. Belongs to one worker.
class connection_listener {
public:
    /// Called with each accepted socket in a new fiber.
    using handler = std::function<void(daemon::tcp::socket socket)>;

    connection_listener(daemon::worker& home, handler on_accepted);

    /// Binds and listens. Returns an error message on failure.
    std::optional<std::string> open(const std::string& address);
    /// Starts to accept connections. Only the worker's thread may call it.
    void start() { accept_next(); }
    /// Stops listening, so that new connections are refused.
    void close();
    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept_next();
    void accept_after_pause();

    daemon::worker& m_home;
    handler m_on_accepted;
    daemon::tcp::acceptor m_acceptor;
};

}  // namespace jasminelead::proxy
