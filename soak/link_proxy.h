#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "jasminelead/types.h"
#include "soak/process_finder.h"

/// A TCP proxy in front of one address, whose links can be disturbed while they are in use.
namespace jasminelead::soak {

using tcp = boost::asio::ip::tcp;

/// Condition of the links between a caller and the target.
struct link_condition {
    duration delay_to_target;
    duration delay_to_caller;
    /// Bytes are held while connections stay open. They are delivered when the silence ends, or
    /// dropped if their sender has closed or reset the connection meanwhile. No connection is
    /// established during a silence in either direction.
    bool silent_to_target = false;
    bool silent_to_caller = false;
    bool refuses_connections = false;
    bool hangs_connections = false;  ///< Connections are established when the condition ends.

    bool operator==(const link_condition&) const = default;
};

/// The condition under two faults: the longer delays, and each other effect of either.
link_condition combine(const link_condition& one, const link_condition& other);

/// The threads of all proxies of a program, whatever the number of connections. Must outlive them.
class link_threads {
public:
    link_threads();
    ~link_threads();
    link_threads(const link_threads&) = delete;
    link_threads& operator=(const link_threads&) = delete;

    boost::asio::io_context& io() { return m_io; }
    /// Runs the functions that name callers, so that they do not delay traffic.
    boost::asio::thread_pool& naming() { return m_naming; }

private:
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::thread_pool m_naming;
    std::thread m_traffic;
};

namespace detail {
class link_table;
}

/// Listens on loopback and passes each connection on to the target. Changes have taken effect when
/// their call returns, for open connections too. May be called from any thread. A caller of a
/// target that does not listen sees its connection accepted and then reset.
class link_proxy {
public:
    /// Name of the caller of an accepted connection. Only called on the naming thread.
    using caller_naming =
        std::function<std::string(const tcp::endpoint& caller, const tcp::endpoint& listener)>;

    /// Names callers by their process id, or by an empty text if it is not found.
    static caller_naming name_by_process();

    /// Listens on a free port if `port` is 0. Throws boost::system::system_error if it cannot.
    link_proxy(link_threads& threads, const tcp::endpoint& target,
               caller_naming naming = name_by_process(), std::uint16_t port = 0);
    ~link_proxy();
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;

    [[nodiscard]] tcp::endpoint endpoint() const;
    /// IP address and port.
    [[nodiscard]] std::string address() const;

    /// Applies to all callers, combined with the condition of each. A refusal or a hang of all is
    /// seen by the caller's `connect`; one of a single caller only after the connection is
    /// accepted, because its name is not known before.
    void set_condition(const link_condition& condition);
    void set_condition(const std::string& caller, const link_condition& condition);
    /// Resets the open connections at both ends; of all callers if none is named.
    void reset(const std::optional<std::string>& caller = std::nullopt);
    /// Holds all bytes of the open connections for good, while new connections work.
    void silence_open_connections(const std::optional<std::string>& caller = std::nullopt);

    /// Connections that are established or wait to be.
    [[nodiscard]] std::size_t open_connections(
        const std::optional<std::string>& caller = std::nullopt) const;

private:
    link_threads& m_threads;
    std::shared_ptr<detail::link_table> m_table;
};

}  // namespace jasminelead::soak
