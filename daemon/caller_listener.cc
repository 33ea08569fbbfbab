#include "caller_listener.h"

#include <chrono>
#include <utility>

namespace jasminelead::daemon {
namespace {

constexpr int backlog = 4096;
// Delay after a failed accept, for example without free descriptors: an immediate retry would
// spin.
constexpr std::chrono::milliseconds accept_retry_delay{100};

}  // namespace

caller_listener::caller_listener(std::vector<worker*> workers, accepted on_accepted)
    : m_workers{std::move(workers)},
      m_accepted{std::move(on_accepted)},
      m_acceptor{m_workers.front()->io()},
      m_retry_timer{m_workers.front()->io()} {}

std::optional<std::string> caller_listener::listen(const std::string& address) {
    const auto at = parse_address(address);
    if (!at) {
        return "invalid listen address " + address + ": must be an IP address and port";
    }
    boost::system::error_code error;
    m_acceptor.open(at->protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address{true}, error);
        m_acceptor.bind(*at, error);
    }
    if (!error) {
        m_acceptor.listen(backlog, error);
    }
    if (error) {
        return "cannot listen on " + address + ": " + error.message();
    }
    m_workers.front()->post([this] { accept_next(); });
    return std::nullopt;
}

std::uint16_t caller_listener::port() const {
    boost::system::error_code ignored;
    return m_acceptor.local_endpoint(ignored).port();
}

void caller_listener::accept_next() {
    const unsigned index = m_next;
    m_next = (m_next + 1) % static_cast<unsigned>(m_workers.size());
    worker& target = *m_workers[index];
    m_acceptor.async_accept(
        target.io(), [this, index, &target](boost::system::error_code error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !m_acceptor.is_open()) {
                return;
            }
            if (error) {
                retry_after_delay();
                return;
            }
            target.post([this, index, socket = std::move(socket)]() mutable {
                m_accepted(index, std::move(socket));
            });
            accept_next();
        });
}

void caller_listener::retry_after_delay() {
    m_retry_timer.expires_after(accept_retry_delay);
    m_retry_timer.async_wait([this](boost::system::error_code error) {
        if (!error && m_acceptor.is_open()) {
            accept_next();
        }
    });
}

void caller_listener::close() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_retry_timer.cancel();
}

}  // namespace jasminelead::daemon
