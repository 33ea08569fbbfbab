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

constexpr std::size_t most_in_flight = 32;
constexpr std::uint32_t most_header_bytes = 8 * 1024;
constexpr std::size_t read_bytes = std::size_t{16} * 1024;
constexpr std::chrono::milliseconds linger_time{500};
constexpr std::size_t most_linger_bytes = std::size_t{1024} * 1024;

request_fault fault_of(const boost::system::error_code& error) {
    if (error == http::error::header_limit || error == http::error::body_limit ||
        error == http::error::buffer_overflow) {
        return {reason::too_large, "the header or the body is over its limit"};
    }
    return {reason::bad_request, "not an HTTP request: " + error.message()};
}

}  // namespace

/// One place in the order of responses.
struct caller_connection::slot {
    std::string response;
    bool ready = false;
    bool close_after = false;
};

/// What a connection needs while requests are in progress.
struct caller_connection::exchange {
    explicit exchange(boost::asio::io_context& io) : slow_timer{io} {}

    boost::beast::flat_buffer received;
    std::optional<request_parser> parser;
    std::deque<slot> slots;
    std::uint64_t first_place = 0;  // Place of slots.front().
    fiber_event work;
    boost::asio::steady_timer slow_timer;
    bool slow_timer_armed = false;
    bool slow = false;       // The sender did not complete a request in time.
    bool no_more = false;    // No further request is read: last one taken, fault, or end of input.
    bool lingering = false;  // The sender may still be sending, and must get the response.
    std::optional<host_id> upgrade_to;

    [[nodiscard]] bool has_partial_request() const {
        return received.size() > 0 || (parser && parser->got_some());
    }
};

caller_connection::caller_connection(caller_worker& home, tcp::socket socket, bool over_limit)
    : m_home{home}, m_socket{std::move(socket)}, m_over_limit{over_limit} {
    m_home.shared().connections.fetch_add(1);
    m_home.shared().counters.add_connections(1);
}

caller_connection::~caller_connection() {
    m_home.shared().connections.fetch_sub(1);
    m_home.shared().counters.add_connections(-1);
}

bool caller_connection::is_busy() const {
    return m_exchange != nullptr && !m_exchange->slots.empty();
}

void caller_connection::start() {
    prepare(m_socket);
    if (m_over_limit) {
        // Nothing may be kept open above the limit, so the slow-sender timer starts at once.
        activate();
        return;
    }
    arm_read();
}

// ---- Waiting -----------------------------------------------------------------------------------

void caller_connection::arm_read() {
    if (std::exchange(m_reading, true)) {
        return;
    }
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code&) {
                            self->m_reading = false;
                            self->on_readable();
                        });
}

void caller_connection::on_readable() {
    if (m_closed) {
        return;
    }
    if (m_exchange != nullptr) {
        m_exchange->work.notify();
        return;
    }
    activate();
}

void caller_connection::activate() {
    m_exchange = std::make_unique<exchange>(m_home.home().io());
    m_home.home().spawn([self = shared_from_this()] { self->serve(); });
}

void caller_connection::go_idle() {
    m_exchange->slow_timer.cancel();
    m_exchange.reset();
    arm_read();
}

void caller_connection::wait_for_work() {
    exchange& x = *m_exchange;
    if (!x.no_more && x.slots.size() < most_in_flight) {
        arm_read();
    }
    if (!x.no_more && (x.has_partial_request() || m_over_limit)) {
        arm_slow_timer();
    }
    x.work.wait();
}

void caller_connection::arm_slow_timer() {
    if (std::exchange(m_exchange->slow_timer_armed, true)) {
        return;
    }
    m_exchange->slow_timer.expires_after(m_home.shared().slow_sender_timeout);
    m_exchange->slow_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
            if (!error) {
                self->on_slow_timer();
            }
        });
}

void caller_connection::on_slow_timer() {
    // The handler may have been queued before its request was completed or the timer armed again.
    const bool due = m_exchange != nullptr && m_exchange->slow_timer_armed &&
                     m_exchange->slow_timer.expiry() <= steady_clock::now();
    if (due) {
        m_exchange->slow = true;
        m_exchange->work.notify();
    }
}

// ---- Serving -----------------------------------------------------------------------------------

void caller_connection::serve() {
    while (serve_round()) {
    }
}

/// Reads and submits requests, writes the responses that are due, and waits for more of either.
/// False when the fiber is no longer needed.
bool caller_connection::serve_round() {
    exchange& x = *m_exchange;
    receive();
    const bool was_full = x.slots.size() >= most_in_flight;
    if (m_closed || send_ready() || m_closed) {
        close();
        return false;
    }
    if (x.slots.empty() && x.no_more) {
        finish();
        return false;
    }
    if (x.slots.empty() && !x.has_partial_request() && !m_over_limit) {
        go_idle();
        return false;
    }
    const bool can_write = !x.slots.empty() && x.slots.front().ready;
    const bool can_read = was_full && x.slots.size() < most_in_flight;
    if (can_write || can_read) {
        boost::this_fiber::yield();
    } else {
        wait_for_work();
    }
    return true;
}

void caller_connection::finish() {
    if (m_exchange->upgrade_to) {
        hand_over();
        return;
    }
    if (m_exchange->lingering) {
        linger();
    }
    close();
}

/// Closing a socket with unread bytes resets the connection, and the caller might lose the response
/// that tells why. So the rest of its request is read and dropped first.
void caller_connection::linger() {
    boost::system::error_code error;
    m_socket.shutdown(tcp::socket::shutdown_send, error);
    const auto deadline = steady_clock::now() + linger_time;
    std::vector<char> bytes(read_bytes);
    std::size_t dropped = 0;
    while (!error && !m_closed && dropped < most_linger_bytes) {
        dropped += m_socket.read_some(boost::asio::buffer(bytes), error);
        if (error == boost::asio::error::would_block) {
            error = wait(tcp::socket::wait_read, deadline);
        }
    }
}

boost::system::error_code caller_connection::wait(tcp::socket::wait_type what,
                                                  steady_time deadline) {
    return await_operation(m_home.home().io(), deadline, [this, what](auto handler) {
        m_socket.async_wait(what, std::move(handler));
    });
}

void caller_connection::close() {
    if (std::exchange(m_closed, true)) {
        return;
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_exchange != nullptr) {
        m_home.shared().unanswered.fetch_sub(m_exchange->slots.size());
        m_exchange->slots.clear();
        m_exchange->slow_timer.cancel();
        m_exchange->work.notify();
    }
    m_home.remove(shared_from_this());
}

void caller_connection::hand_over() {
    boost::system::error_code error;
    const bool is_v6 = m_socket.local_endpoint(error).address().is_v6();
    const int descriptor = error ? -1 : m_socket.release(error);
    if (!error) {
        const auto data = m_exchange->received.data();
        std::string received{static_cast<const char*>(data.data()), data.size()};
        m_home.shared().adopt_peer(*m_exchange->upgrade_to, descriptor, is_v6, std::move(received));
    }
    close();
}

// ---- Reading -----------------------------------------------------------------------------------

void caller_connection::receive() {
    exchange& x = *m_exchange;
    while (!m_closed && !x.no_more && x.slots.size() < most_in_flight) {
        if (x.slow) {
            refuse({reason::slow_sender, "the request did not arrive within 10 s"});
            return;
        }
        if (!parse_some() && (x.no_more || !read_some())) {
            return;
        }
    }
}

bool caller_connection::read_some() {
    exchange& x = *m_exchange;
    // Only an incomplete header or chunk header stays unparsed.
    if (x.received.size() > most_header_bytes) {
        refuse({reason::too_large, "the header is over its limit"});
        return false;
    }
    boost::system::error_code error;
    const std::size_t size = m_socket.read_some(x.received.prepare(read_bytes), error);
    x.received.commit(size);
    if (error == boost::asio::error::would_block) {
        return false;
    }
    if (error == boost::asio::error::eof) {
        x.no_more = true;
    } else if (error) {
        close();
    }
    return !error;
}

/// Feeds received bytes to the parser; true when that led further.
bool caller_connection::parse_some() {
    exchange& x = *m_exchange;
    if (x.received.size() == 0) {
        return false;
    }
    if (!x.parser) {
        x.parser.emplace();
        x.parser->eager(true);
        x.parser->header_limit(most_header_bytes);
        x.parser->body_limit(most_body_bytes);
    }
    boost::system::error_code error;
    const std::size_t used = x.parser->put(x.received.data(), error);
    x.received.consume(used);
    if (error == http::error::need_more) {
        return false;
    }
    if (error) {
        refuse(fault_of(error));
        return false;
    }
    if (x.parser->is_done()) {
        handle_message();
        return true;
    }
    return used > 0;
}

// ---- Requests ----------------------------------------------------------------------------------

void caller_connection::handle_message() {
    exchange& x = *m_exchange;
    const auto message = x.parser->release();
    x.parser.reset();
    x.slow_timer_armed = false;
    x.slow_timer.cancel();
    const bool last = !message.keep_alive() || m_over_limit || m_home.shared().draining.load();
    const std::string_view target{message.target().data(), message.target().size()};
    const std::string_view method{message.method_string().data(), message.method_string().size()};
    const auto kind = kind_of_path(target);
    if (target == "/v1/peer" && message["Upgrade"] == "jasminelead") {
        const auto host = message["X-Jasminelead-Host"];
        handle_upgrade({host.data(), host.size()});
        return;
    }
    slot& place = add_slot(last);
    if (!kind || method != "POST") {
        const route_response routed = m_home.shared().routes.serve(method, target, message.body());
        answer(place, routed.status, routed.body, routed.content_type);
    } else if (m_over_limit) {
        answer_fault(place, {reason::connection_limit, "the daemon has too many connections"}, {});
    } else {
        handle_statement(place, *kind, message.body());
    }
}

void caller_connection::handle_statement(slot& place, request_kind kind, const std::string& body) {
    auto parsed = parse_caller_request(kind, body);
    if (const auto* const fault = std::get_if<request_fault>(&parsed)) {
        answer_fault(place, *fault, {});
        return;
    }
    const std::uint64_t number = m_exchange->first_place + m_exchange->slots.size() - 1;
    m_home.submit(shared_from_this(), number, std::get<parsed_request>(std::move(parsed)));
}

void caller_connection::handle_upgrade(std::string_view host) {
    exchange& x = *m_exchange;
    if (host.empty() || host.size() > longest_name_bytes || !x.slots.empty()) {
        refuse({reason::bad_request, "a peer link needs X-Jasminelead-Host and no other request"});
        return;
    }
    slot& place = add_slot(false);
    place.response = upgrade_response();
    place.ready = true;
    x.upgrade_to = host_id{host};
    x.no_more = true;
}

caller_connection::slot& caller_connection::add_slot(bool close_after) {
    exchange& x = *m_exchange;
    slot& added = x.slots.emplace_back();
    added.close_after = close_after;
    x.no_more = x.no_more || close_after;
    m_home.shared().unanswered.fetch_add(1);
    return added;
}

/// Refuses input that cannot be continued: the response closes the connection.
void caller_connection::refuse(const request_fault& fault) {
    m_exchange->lingering = true;
    answer_fault(add_slot(true), fault, {});
}

void caller_connection::answer_fault(slot& place, const request_fault& fault,
                                     std::string_view caller_id) {
    m_home.shared().counters.count("refused", to_string(fault.why));
    const rendered_reply rendered = render_fault(fault, caller_id);
    answer(place, rendered.status, rendered.body, json_type);
}

void caller_connection::answer(slot& place, int status, std::string_view body,
                               std::string_view type) {
    place.response = render_response(status, body, type, place.close_after);
    place.ready = true;
}

void caller_connection::reply(std::uint64_t place, const rendered_reply& rendered) {
    if (m_closed) {
        return;
    }
    slot& target = m_exchange->slots.at(place - m_exchange->first_place);
    // Requests that were read before the drain began are answered, and then the connection ends.
    if (m_home.shared().draining.load() && &target == &m_exchange->slots.back()) {
        target.close_after = true;
        m_exchange->no_more = true;
    }
    answer(target, rendered.status, rendered.body, json_type);
    if (&target == &m_exchange->slots.front()) {
        m_exchange->work.notify();
    }
}

// ---- Writing -----------------------------------------------------------------------------------

boost::system::error_code caller_connection::send_ready() {
    exchange& x = *m_exchange;
    std::string out;
    std::size_t sent = 0;
    while (sent < x.slots.size() && x.slots[sent].ready) {
        out += x.slots[sent].response;
        ++sent;
    }
    const auto error = write(out);
    if (error || m_closed) {
        return error;
    }
    x.slots.erase(x.slots.begin(), x.slots.begin() + static_cast<std::ptrdiff_t>(sent));
    x.first_place += sent;
    m_home.shared().unanswered.fetch_sub(sent);
    return error;
}

boost::system::error_code caller_connection::write(std::string_view bytes) {
    const auto deadline = steady_clock::now() + m_home.shared().slow_sender_timeout;
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
