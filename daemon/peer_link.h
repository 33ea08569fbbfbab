#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fiber_event.h"
#include "fiber_stream.h"
#include "jasminelead/messages.h"
#include "worker.h"

namespace jasminelead::daemon {

class peer_link;

/// Receives the events of a link on the thread of its worker.
class peer_link_listener {
public:
    peer_link_listener() = default;
    peer_link_listener(const peer_link_listener&) = delete;
    peer_link_listener& operator=(const peer_link_listener&) = delete;
    peer_link_listener(peer_link_listener&&) = delete;
    peer_link_listener& operator=(peer_link_listener&&) = delete;
    virtual ~peer_link_listener() = default;

    virtual void on_link_opened(peer_link& link) = 0;
    virtual void on_events_received(std::span<event> events) = 0;
    /// `unsent` lists the calls of which no byte was passed to the socket.
    virtual void on_link_lost(peer_link& link, endpoint_error error,
                              std::span<const call_id> unsent) = 0;
    /// `what` is the label under which the drop is counted.
    virtual void on_message_dropped(std::string_view what) = 0;
};

/// A TCP connection to a peer that carries frames in both directions. Not thread-safe: all
/// functions run on the thread of one worker.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(worker& io_worker, host_id self, host_id peer, peer_link_listener& listener);

    /// Connects and requests the upgrade. Messages are queued until the upgrade succeeds.
    void open(const tcp::endpoint& to);
    /// Uses a connection that was already upgraded. `received` holds the bytes read after the
    /// upgrade request.
    void adopt(tcp::socket socket, std::string received);
    /// Queues a message. Returns false only for a statement call that was rejected; other messages
    /// are dropped and counted.
    bool send(const peer_message& message);
    /// Closes the link without notifying the listener.
    void close();

    [[nodiscard]] const host_id& peer() const { return m_peer; }
    [[nodiscard]] bool is_open() const { return m_open; }
    [[nodiscard]] bool has_calls() const { return !m_calls.empty(); }

private:
    struct frame {
        std::string bytes;
        std::optional<call_id> call;
    };
    using call_times = std::map<call_id, steady_time>;

    boost::system::error_code perform_handshake(const tcp::endpoint& to);
    void start();
    void write_frames();
    std::string take_write_batch();
    void read_frames();
    bool parse_frames(std::vector<event>& events);
    void track_call(const peer_message& message);
    bool accept_call(const statement_call& call);
    bool accept_other(const peer_message& message);
    void arm_liveness_timer();
    void check_liveness();
    void fail_link(endpoint_error error);

    worker& m_worker;
    host_id m_self;
    host_id m_peer;
    peer_link_listener& m_listener;
    std::unique_ptr<fiber_stream> m_stream;
    boost::asio::steady_timer m_timer;
    fiber_event m_writable;
    std::deque<frame> m_queue;
    std::string m_received;
    // Calls without a reply, sent to the peer and received from it, with their expiry times.
    call_times m_calls;
    call_times m_unanswered_calls;
    steady_time m_calls_pending_since;
    steady_time m_last_received_at;
    bool m_open = false;
    bool m_closed = false;
    bool m_liveness_timer_armed = false;
};

/// The HTTP response that accepts an upgrade request.
std::string_view upgrade_response();

}  // namespace jasminelead::daemon
