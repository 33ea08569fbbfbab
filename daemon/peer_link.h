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

/// Hears what happens on a link.
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
    /// `unsent` are the calls whose bytes were not handed to the socket.
    virtual void on_link_lost(peer_link& link, endpoint_error error,
                              std::span<const call_id> unsent) = 0;
    virtual void on_message_dropped(std::string_view what) = 0;
};

/// One TCP connection to a peer that carries frames in both directions. Belongs to one worker.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(worker& io_worker, host_id self, host_id peer, peer_link_listener& listener);

    /// Connects and asks for the upgrade; messages wait until then.
    void open(const tcp::endpoint& to);
    /// Takes over a connection after its upgrade. `received` are bytes that came with it.
    void adopt(tcp::socket socket, std::string received);
    /// False when the message is a statement call that was not accepted.
    bool send(const peer_message& message);
    /// Ends the link without telling the owner.
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
    call_times m_calls;  // Calls that this daemon waits for, with the time when they are forgotten.
    call_times m_unanswered_calls;  // Calls of the peer that have no reply yet.
    steady_time m_calls_pending_since;
    steady_time m_last_received_at;
    bool m_open = false;
    bool m_closed = false;
    bool m_liveness_timer_armed = false;
};

/// The answer to an upgrade request.
std::string_view upgrade_response();

}  // namespace jasminelead::daemon
