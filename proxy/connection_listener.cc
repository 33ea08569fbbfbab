#include "proxy/connection_listener.h"

#include <boost/fiber/operations.hpp>
#include <memory>
#include <utility>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

constexpr int backlog = 1024;
// accept() fails while all file descriptors are in use. The pause keeps retries from busy looping.
constexpr duration retry_pause = 50_ms;

}  // namespace

connection_listener::connection_listener(daemon::worker& home, handler on_accepted)
    : m_home{home}, m_on_accepted{std::move(on_accepted)}, m_acceptor{home.io()} {}

std::optional<std::string> connection_listener::open(const std::string& address) {
    const auto at = daemon::parse_address(address);
    if (!at) {
        return "'" + address + "' is not an IP address and port";
    }
    boost::system::error_code error;
    m_acceptor.open(at->protocol(), error);
    if (!error) {
        m_acceptor.set_option(daemon::tcp::acceptor::reuse_address{true}, error);
        m_acceptor.bind(*at, error);
    }
    if (!error) {
        m_acceptor.listen(backlog, error);
    }
    if (error) {
        return "cannot listen on " + address + ": " + error.message();
    }
    return std::nullopt;
}

void connection_listener::close() {
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void connection_listener::accept_next() {
    m_acceptor.async_accept([this](boost::system::error_code error, daemon::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !m_acceptor.is_open()) {
            return;
        }
        if (error) {
            log_line{log_class::refusal, "accept_failed"}.with("reason", error.message()).write();
            accept_after_pause();
            return;
        }
        m_home.spawn([this, accepted = std::make_shared<daemon::tcp::socket>(std::move(socket))] {
            m_on_accepted(std::move(*accepted));
        });
        accept_next();
    });
}

void connection_listener::accept_after_pause() {
    m_home.spawn([this] {
        boost::this_fiber::sleep_until(to_steady(boot_now() + retry_pause));
        if (m_acceptor.is_open()) {
            accept_next();
        }
    });
}

}  // namespace jasminelead::proxy
