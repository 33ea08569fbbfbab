#include "peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "network_error.h"
#include "peer_codec.h"

namespace jasminelead::daemon {
namespace {

using steady_clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds connect_timeout{200};
constexpr std::chrono::milliseconds handshake_timeout{500};
constexpr std::chrono::milliseconds receive_timeout{2000};
// Four keep-alive frames per receive timeout, so that one late frame does not close a link.
constexpr std::chrono::milliseconds liveness_check_interval{500};
// A reply that arrives within this time after the call's deadline still frees its slot.
constexpr std::chrono::milliseconds reply_grace{1000};
constexpr int tcp_user_timeout_ms = 5000;

constexpr std::size_t max_calls_in_flight = 1024;
constexpr std::size_t max_queued_control_frames = 256;
// Replies are bounded by the peer's calls in flight, so a longer queue means a stalled peer.
constexpr std::size_t max_queued_frames = 4096;
constexpr std::size_t batch_bytes = std::size_t{64} * 1024;
constexpr std::size_t read_bytes = std::size_t{64} * 1024;
constexpr std::size_t max_handshake_bytes = 1024;
constexpr std::string_view header_end = "\r\n\r\n";

steady_time reply_expiry(duration remaining) {
    return steady_clock::now() + std::chrono::microseconds{remaining.us()} + reply_grace;
}

void erase_expired(std::map<call_id, steady_time>& calls) {
    const steady_time now = steady_clock::now();
    std::erase_if(calls, [now](const auto& item) { return item.second < now; });
}

/// Encodes a message; a reply that exceeds the frame size is replaced by an unknown outcome.
std::string encode_within_limit(const peer_message& message) {
    std::string payload = encode_peer_message(message);
    const auto* const reply = std::get_if<statement_reply>(&message);
    if (payload.size() <= max_frame_bytes || reply == nullptr) {
        return payload;
    }
    statement_reply shorter = *reply;
    shorter.result = unknown_outcome{reason::too_large, "the result does not fit into a frame"};
    return encode_peer_message(shorter);
}

}  // namespace

std::string_view upgrade_response() {
    return "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "
           "jasminelead\r\n\r\n";
}

peer_link::peer_link(worker& io_worker, host_id self, host_id peer, peer_link_listener& listener)
    : m_worker{io_worker},
      m_self{std::move(self)},
      m_peer{std::move(peer)},
      m_listener{listener},
      m_timer{io_worker.io()} {}

void peer_link::open(const tcp::endpoint& to) {
    m_stream = std::make_unique<fiber_stream>(m_worker.io());
    m_worker.spawn([self = shared_from_this(), to] {
        const auto error = self->perform_handshake(to);
        if (self->m_closed) {
            return;
        }
        if (error) {
            self->fail_link(network_error(error));
            return;
        }
        self->start();
    });
}

boost::system::error_code peer_link::perform_handshake(const tcp::endpoint& to) {
    auto error = m_stream->connect(to, steady_clock::now() + connect_timeout);
    if (error) {
        return error;
    }
    const std::string request =
        "GET /v1/peer HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: jasminelead\r\n"
        "X-Jasminelead-Host: " +
        m_self.str() + "\r\n\r\n";
    const steady_time deadline = steady_clock::now() + handshake_timeout;
    error = m_stream->write(boost::asio::buffer(request), deadline);
    while (!error && m_received.find(header_end) == std::string::npos) {
        std::array<char, max_handshake_bytes> chunk{};
        const std::size_t size = m_stream->read_some(boost::asio::buffer(chunk), deadline, error);
        m_received.append(chunk.data(), size);
        if (m_received.size() > max_handshake_bytes) {
            return boost::asio::error::message_size;
        }
    }
    if (!error && !m_received.starts_with("HTTP/1.1 101")) {
        return boost::asio::error::connection_reset;
    }
    if (!error) {
        m_received.erase(0, m_received.find(header_end) + header_end.size());
    }
    return error;
}

void peer_link::adopt(tcp::socket socket, std::string received) {
    m_stream = std::make_unique<fiber_stream>(m_worker.io(), std::move(socket));
    m_received = std::move(received);
    start();
}

void peer_link::start() {
    m_open = true;
    m_last_received_at = steady_clock::now();
    // Without this limit TCP retransmits for about 15 minutes before it reports a host that
    // disappeared without a reset.
    setsockopt(m_stream->socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &tcp_user_timeout_ms, sizeof tcp_user_timeout_ms);
    m_listener.on_link_opened(*this);
    m_worker.spawn([self = shared_from_this()] { self->write_frames(); });
    m_worker.spawn([self = shared_from_this()] { self->read_frames(); });
}

// ---- Sending -----------------------------------------------------------------------------------

bool peer_link::send(const peer_message& message) {
    if (m_closed) {
        return false;
    }
    const auto* const call = std::get_if<statement_call>(&message);
    const bool accepted = call != nullptr ? accept_call(*call) : accept_other(message);
    if (!accepted) {
        return call == nullptr;
    }
    const std::string payload = encode_within_limit(message);
    if (payload.size() > max_frame_bytes) {
        m_listener.on_message_dropped("frame_too_large");
        return call == nullptr;
    }
    frame item;
    append_frame(item.bytes, payload);
    if (call != nullptr) {
        item.call = call->id;
        if (m_calls.empty()) {
            m_calls_pending_since = steady_clock::now();
        }
        m_calls[call->id] = reply_expiry(call->remaining);
        arm_liveness_timer();
    }
    m_queue.push_back(std::move(item));
    m_writable.notify();
    return true;
}

bool peer_link::accept_call(const statement_call& /*call*/) {
    if (m_calls.size() >= max_calls_in_flight) {
        erase_expired(m_calls);
    }
    return m_calls.size() < max_calls_in_flight && m_queue.size() < max_queued_frames;
}

bool peer_link::accept_other(const peer_message& message) {
    if (const auto* const reply = std::get_if<statement_reply>(&message)) {
        m_unanswered_calls.erase(reply->id);
        if (m_queue.size() >= max_queued_frames) {
            fail_link(endpoint_error::timeout);
        }
        return !m_closed;
    }
    if (m_queue.size() >= max_queued_control_frames) {
        m_listener.on_message_dropped("control");
        return false;
    }
    return true;
}

std::string peer_link::take_write_batch() {
    std::string batch;
    while (!m_queue.empty() && batch.size() < batch_bytes) {
        batch += m_queue.front().bytes;
        m_queue.pop_front();
    }
    return batch;
}

void peer_link::write_frames() {
    while (!m_closed) {
        if (m_queue.empty()) {
            m_writable.wait();
            continue;
        }
        const std::string batch = take_write_batch();
        const auto error = m_stream->write(boost::asio::buffer(batch), no_deadline);
        if (error) {
            fail_link(network_error(error));
        }
    }
}

// ---- Receiving ---------------------------------------------------------------------------------

void peer_link::read_frames() {
    std::vector<char> chunk;
    std::vector<event> events;
    while (!m_closed) {
        if (!parse_frames(events)) {
            fail_link(endpoint_error::reset);
            return;
        }
        if (!events.empty()) {
            m_listener.on_events_received(events);
            events.clear();
        }
        auto error = m_stream->wait(tcp::socket::wait_read, no_deadline);
        if (!error) {
            chunk.resize(read_bytes);
            const std::size_t size =
                m_stream->read_some(boost::asio::buffer(chunk), no_deadline, error);
            m_received.append(chunk.data(), size);
            m_last_received_at = steady_clock::now();
        }
        if (error) {
            fail_link(network_error(error));
        }
    }
}

bool peer_link::parse_frames(std::vector<event>& events) {
    std::size_t at = 0;
    while (m_received.size() - at >= frame_header_bytes) {
        const std::string_view rest = std::string_view{m_received}.substr(at);
        const std::size_t size = frame_length(rest);
        if (size > max_frame_bytes) {
            return false;
        }
        if (rest.size() - frame_header_bytes < size) {
            break;
        }
        at += frame_header_bytes + size;
        if (size == 0) {
            continue;  // Keep-alive: the peer is still processing a call.
        }
        auto message = decode_peer_message(rest.substr(frame_header_bytes, size));
        if (!message) {
            m_listener.on_message_dropped("frame_malformed");
            return false;
        }
        track_call(*message);
        events.emplace_back(peer_received{m_peer, std::move(*message)});
    }
    m_received.erase(0, at);
    return true;
}

void peer_link::track_call(const peer_message& message) {
    if (const auto* const reply = std::get_if<statement_reply>(&message)) {
        m_calls.erase(reply->id);
    }
    if (const auto* const call = std::get_if<statement_call>(&message)) {
        m_unanswered_calls[call->id] = reply_expiry(call->remaining);
        arm_liveness_timer();
    }
}

// ---- Liveness ----------------------------------------------------------------------------------

void peer_link::arm_liveness_timer() {
    if (std::exchange(m_liveness_timer_armed, true)) {
        return;
    }
    m_timer.expires_after(liveness_check_interval);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        self->m_liveness_timer_armed = false;
        if (!error && !self->m_closed) {
            self->check_liveness();
        }
    });
}

void peer_link::check_liveness() {
    erase_expired(m_calls);
    erase_expired(m_unanswered_calls);
    const steady_time last_activity = std::max(m_last_received_at, m_calls_pending_since);
    if (m_open && !m_calls.empty() && steady_clock::now() - last_activity > receive_timeout) {
        fail_link(endpoint_error::timeout);
        return;
    }
    // An empty frame is a keep-alive: the peer's calls are still in progress.
    if (m_open && !m_unanswered_calls.empty() && m_queue.empty()) {
        frame item;
        append_frame(item.bytes, {});
        m_queue.push_back(std::move(item));
        m_writable.notify();
    }
    if (!m_calls.empty() || !m_unanswered_calls.empty()) {
        arm_liveness_timer();
    }
}

void peer_link::fail_link(endpoint_error error) {
    if (m_closed) {
        return;
    }
    const auto self = shared_from_this();
    std::vector<call_id> unsent;
    for (const frame& item : m_queue) {
        if (item.call) {
            unsent.push_back(*item.call);
        }
    }
    close();
    m_listener.on_link_lost(*this, error, unsent);
}

void peer_link::close() {
    m_closed = true;
    m_open = false;
    m_queue.clear();
    m_timer.cancel();
    m_writable.notify();
    if (m_stream) {
        m_stream->close();
    }
}

}  // namespace jasminelead::daemon
