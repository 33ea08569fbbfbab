#include "caller_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "caller_worker.h"
#include "http_text.h"
#include "peer_link.h"

namespace jasminelead::daemon {
namespace {

namespace http = boost::beast::http;
using steady_clock = std::chrono::steady_clock;
using request_parser = http::request_parser<http::string_body>;

constexpr std::size_t max_pipelined_requests = 32;
constexpr std::uint32_t max_header_bytes = 8 * 1024;
constexpr std::size_t read_bytes = std::size_t{16} * 1024;
constexpr std::chrono::milliseconds linger_timeout{500};
constexpr std::size_t max_linger_bytes = std::size_t{1024} * 1024;

request_fault to_request_fault(const boost::system::error_code& error) {
    if (error == http::error::header_limit || error == http::error::body_limit ||
        error == http::error::buffer_overflow) {
        return {reason::too_large, "the header exceeds 8 KiB or the body exceeds 64 KiB"};
    }
    return {reason::bad_request, "not an HTTP request: " + error.message()};
}

}  // namespace

/// The response to one request. Responses are written in the order of the requests.
struct caller_connection::slot {
    std::string response;
    bool ready = false;
    bool close_after = false;
};

/// State of a connection that exists only while requests are in progress.
struct caller_connection::request_pipeline {
    explicit request_pipeline(boost::asio::io_context& io) : request_timer{io} {}

    boost::beast::flat_buffer received;
    std::optional<request_parser> parser;
    std::deque<slot> slots;
    std::uint64_t first_sequence = 0;  // Sequence number of slots.front().
    fiber_event work;
    boost::asio::steady_timer request_timer;
    bool request_timer_armed = false;
    bool request_timed_out = false;  // The caller did not complete a request in time.
    bool input_ended = false;        // No more requests are read: last request, error or EOF.
    bool lingering = false;          // Read the rest of the input before closing.
    std::optional<host_id> upgrade_to;

    [[nodiscard]] bool has_partial_request() const {
        return received.size() > 0 || (parser && parser->got_some());
    }
};

caller_connection::caller_connection(caller_worker& owner, tcp::socket socket, bool over_limit)
    : m_owner{owner}, m_socket{std::move(socket)}, m_over_limit{over_limit} {
    m_owner.shared().connections.fetch_add(1);
    m_owner.shared().counters.add_connections(1);
}

caller_connection::~caller_connection() {
    m_owner.shared().connections.fetch_sub(1);
    m_owner.shared().counters.add_connections(-1);
}

bool caller_connection::is_busy() const {
    return m_pipeline != nullptr && !m_pipeline->slots.empty();
}

void caller_connection::start() {
    prepare(m_socket);
    if (m_over_limit) {
        // A connection above the limit must not stay idle, so the request timer starts at once.
        activate();
        return;
    }
    arm_read();
}

// ---- Waiting -----------------------------------------------------------------------------------

void caller_connection::arm_read() {
    if (std::exchange(m_readability_wait_pending, true)) {
        return;
    }
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code&) {
                            self->m_readability_wait_pending = false;
                            self->on_readable();
                        });
}

void caller_connection::on_readable() {
    if (m_closed) {
        return;
    }
    if (m_pipeline != nullptr) {
        m_pipeline->work.notify();
        return;
    }
    activate();
}

void caller_connection::activate() {
    m_pipeline = std::make_unique<request_pipeline>(m_owner.io_worker().io());
    m_owner.io_worker().spawn([self = shared_from_this()] { self->serve(); });
}

void caller_connection::go_idle() {
    m_pipeline->request_timer.cancel();
    m_pipeline.reset();
    arm_read();
}

void caller_connection::wait_for_work() {
    request_pipeline& pipeline = *m_pipeline;
    if (!pipeline.input_ended && pipeline.slots.size() < max_pipelined_requests) {
        arm_read();
    }
    if (!pipeline.input_ended && (pipeline.has_partial_request() || m_over_limit)) {
        arm_request_timer();
    }
    pipeline.work.wait();
}

void caller_connection::arm_request_timer() {
    if (std::exchange(m_pipeline->request_timer_armed, true)) {
        return;
    }
    m_pipeline->request_timer.expires_after(m_owner.shared().slow_sender_timeout);
    m_pipeline->request_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
            if (!error) {
                self->on_request_timer();
            }
        });
}

void caller_connection::on_request_timer() {
    // The handler may have been queued before the request was completed or the timer was re-armed.
    const bool due = m_pipeline != nullptr && m_pipeline->request_timer_armed &&
                     m_pipeline->request_timer.expiry() <= steady_clock::now();
    if (due) {
        m_pipeline->request_timed_out = true;
        m_pipeline->work.notify();
    }
}

// ---- Serving -----------------------------------------------------------------------------------

void caller_connection::serve() {
    while (serve_once()) {
    }
}

/// Reads and submits requests, writes the ready responses, and waits for more of either. Returns
/// false when the fiber is no longer needed.
bool caller_connection::serve_once() {
    request_pipeline& pipeline = *m_pipeline;
    receive();
    const bool was_full = pipeline.slots.size() >= max_pipelined_requests;
    if (m_closed || send_ready_responses() || m_closed) {
        close();
        return false;
    }
    if (pipeline.slots.empty() && pipeline.input_ended) {
        finish();
        return false;
    }
    if (pipeline.slots.empty() && !pipeline.has_partial_request() && !m_over_limit) {
        go_idle();
        return false;
    }
    const bool can_write = !pipeline.slots.empty() && pipeline.slots.front().ready;
    const bool can_read = was_full && pipeline.slots.size() < max_pipelined_requests;
    if (can_write || can_read) {
        boost::this_fiber::yield();
    } else {
        wait_for_work();
    }
    return true;
}

void caller_connection::finish() {
    if (m_pipeline->upgrade_to) {
        hand_off_to_peer_links();
        return;
    }
    if (m_pipeline->lingering) {
        linger();
    }
    close();
}

/// Reads and discards the rest of a refused request before the socket is closed. Closing a socket
/// with unread bytes resets the connection, and the caller could lose the response with the reason.
void caller_connection::linger() {
    boost::system::error_code error;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    const auto deadline = steady_clock::now() + linger_timeout;
    std::vector<char> bytes(read_bytes);
    std::size_t dropped = 0;
    while (!error && !m_closed && dropped < max_linger_bytes) {
        dropped += m_socket.read_some(boost::asio::buffer(bytes), error);
        if (error == boost::asio::error::would_block) {
            error = wait(tcp::socket::wait_read, deadline);
        }
    }
}

boost::system::error_code caller_connection::wait(tcp::socket::wait_type what,
                                                  steady_time deadline) {
    return await_operation(m_owner.io_worker().io(), deadline, [this, what](auto handler) {
        m_socket.async_wait(what, std::move(handler));
    });
}

void caller_connection::close() {
    if (std::exchange(m_closed, true)) {
        return;
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_pipeline != nullptr) {
        m_owner.shared().unanswered.fetch_sub(m_pipeline->slots.size());
        m_pipeline->slots.clear();
        m_pipeline->request_timer.cancel();
        m_pipeline->work.notify();
    }
    m_owner.remove(shared_from_this());
}

void caller_connection::hand_off_to_peer_links() {
    boost::system::error_code error;
    const bool is_v6 = m_socket.local_endpoint(error).address().is_v6();
    const int descriptor = error ? -1 : m_socket.release(error);
    if (!error) {
        const auto data = m_pipeline->received.data();
        std::string received{static_cast<const char*>(data.data()), data.size()};
        m_owner.shared().adopt_peer(*m_pipeline->upgrade_to, descriptor, is_v6,
                                    std::move(received));
    }
    close();
}

// ---- Reading -----------------------------------------------------------------------------------

void caller_connection::receive() {
    request_pipeline& pipeline = *m_pipeline;
    while (!m_closed && !pipeline.input_ended && pipeline.slots.size() < max_pipelined_requests) {
        if (pipeline.request_timed_out) {
            refuse({reason::slow_sender, "the request did not arrive within 10 s"});
            return;
        }
        if (!parse_some() && (pipeline.input_ended || !read_some())) {
            return;
        }
    }
}

bool caller_connection::read_some() {
    request_pipeline& pipeline = *m_pipeline;
    // The parser leaves only an incomplete header or chunk header in the buffer.
    if (pipeline.received.size() > max_header_bytes) {
        refuse({reason::too_large, "the header exceeds 8 KiB"});
        return false;
    }
    boost::system::error_code error;
    const std::size_t size = m_socket.read_some(pipeline.received.prepare(read_bytes), error);
    pipeline.received.commit(size);
    if (error == boost::asio::error::would_block) {
        return false;
    }
    if (error == boost::asio::error::eof) {
        pipeline.input_ended = true;
    } else if (error) {
        close();
    }
    return !error;
}

/// Passes received bytes to the parser. Returns true when it made progress.
bool caller_connection::parse_some() {
    request_pipeline& pipeline = *m_pipeline;
    if (pipeline.received.size() == 0) {
        return false;
    }
    if (!pipeline.parser) {
        pipeline.parser.emplace();
        pipeline.parser->eager(true);
        pipeline.parser->header_limit(max_header_bytes);
        pipeline.parser->body_limit(max_request_body_bytes);
    }
    boost::system::error_code error;
    const std::size_t used = pipeline.parser->put(pipeline.received.data(), error);
    pipeline.received.consume(used);
    if (error == http::error::need_more) {
        return false;
    }
    if (error) {
        refuse(to_request_fault(error));
        return false;
    }
    if (pipeline.parser->is_done()) {
        handle_message();
        return true;
    }
    return used > 0;
}

// ---- Requests ----------------------------------------------------------------------------------

void caller_connection::handle_message() {
    request_pipeline& pipeline = *m_pipeline;
    const auto message = pipeline.parser->release();
    pipeline.parser.reset();
    pipeline.request_timer_armed = false;
    pipeline.request_timer.cancel();
    const bool last = !message.keep_alive() || m_over_limit || m_owner.shared().draining.load();
    const std::string_view target{message.target().data(), message.target().size()};
    const std::string_view method{message.method_string().data(), message.method_string().size()};
    const auto kind = kind_of_path(target);
    if (target == "/v1/peer" && message["Upgrade"] == "jasminelead") {
        const auto host = message["X-Jasminelead-Host"];
        handle_upgrade({host.data(), host.size()});
        return;
    }
    slot& added = add_slot(last);
    if (!kind || method != "POST") {
        const route_response routed = m_owner.shared().routes.serve(method, target, message.body());
        answer(added, routed.status, routed.body, routed.content_type);
    } else if (m_over_limit) {
        answer_fault(added, {reason::connection_limit, "the daemon has too many connections"}, {});
    } else {
        handle_statement(added, *kind, message.body());
    }
}

void caller_connection::handle_statement(slot& target, request_kind kind, const std::string& body) {
    auto parsed = parse_caller_request(kind, body);
    if (const auto* const fault = std::get_if<request_fault>(&parsed)) {
        answer_fault(target, *fault, {});
        return;
    }
    const std::uint64_t number = m_pipeline->first_sequence + m_pipeline->slots.size() - 1;
    m_owner.submit(shared_from_this(), number, std::get<parsed_request>(std::move(parsed)));
}

void caller_connection::handle_upgrade(std::string_view host) {
    request_pipeline& pipeline = *m_pipeline;
    if (host.empty() || host.size() > max_name_bytes || !pipeline.slots.empty()) {
        refuse({reason::bad_request, "a peer link needs X-Jasminelead-Host and no other request"});
        return;
    }
    slot& target = add_slot(false);
    target.response = upgrade_response();
    target.ready = true;
    pipeline.upgrade_to = host_id{host};
    pipeline.input_ended = true;
}

caller_connection::slot& caller_connection::add_slot(bool close_after) {
    request_pipeline& pipeline = *m_pipeline;
    slot& added = pipeline.slots.emplace_back();
    added.close_after = close_after;
    pipeline.input_ended = pipeline.input_ended || close_after;
    m_owner.shared().unanswered.fetch_add(1);
    return added;
}

/// Refuses input after which no further request can be read: the response closes the connection.
void caller_connection::refuse(const request_fault& fault) {
    m_pipeline->lingering = true;
    answer_fault(add_slot(true), fault, {});
}

void caller_connection::answer_fault(slot& target, const request_fault& fault,
                                     std::string_view caller_id) {
    m_owner.shared().counters.count("refused", to_string(fault.why));
    const rendered_reply rendered = render_fault(fault, caller_id);
    answer(target, rendered.status, rendered.body, json_type);
}

void caller_connection::answer(slot& target, int status, std::string_view body,
                               std::string_view type) {
    target.response = render_response(status, body, type, target.close_after);
    target.ready = true;
}

void caller_connection::reply(std::uint64_t sequence, const rendered_reply& rendered) {
    if (m_closed) {
        return;
    }
    slot& target = m_pipeline->slots.at(sequence - m_pipeline->first_sequence);
    // Requests that were read before the drain are answered; the last response closes the
    // connection.
    if (m_owner.shared().draining.load() && &target == &m_pipeline->slots.back()) {
        target.close_after = true;
        m_pipeline->input_ended = true;
    }
    answer(target, rendered.status, rendered.body, json_type);
    if (&target == &m_pipeline->slots.front()) {
        m_pipeline->work.notify();
    }
}

// ---- Writing -----------------------------------------------------------------------------------

boost::system::error_code caller_connection::send_ready_responses() {
    request_pipeline& pipeline = *m_pipeline;
    std::string out;
    std::size_t sent = 0;
    while (sent < pipeline.slots.size() && pipeline.slots[sent].ready) {
        out += pipeline.slots[sent].response;
        ++sent;
    }
    const auto error = write(out);
    if (error || m_closed) {
        return error;
    }
    pipeline.slots.erase(pipeline.slots.begin(),
                         pipeline.slots.begin() + static_cast<std::ptrdiff_t>(sent));
    pipeline.first_sequence += sent;
    m_owner.shared().unanswered.fetch_sub(sent);
    return error;
}

boost::system::error_code caller_connection::write(std::string_view bytes) {
    const auto deadline = steady_clock::now() + m_owner.shared().slow_sender_timeout;
    boost::system::error_code error;
    while (!bytes.empty() && !error && !m_closed) {
        bytes.remove_prefix(m_socket.write_some(boost::asio::buffer(bytes), error));
        if (error == boost::asio::error::would_block) {
            error = wait(tcp::socket::wait_write, deadline);
        }
    }
    return error;
}

}  // namespace jasminelead::daemon
