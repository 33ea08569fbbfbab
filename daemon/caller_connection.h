#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "caller_json.h"
#include "fiber_stream.h"

namespace jasminelead::daemon {

class caller_worker;

/// An HTTP connection of a caller. To save memory, an idle connection has no fiber and no buffers,
/// only a pending wait for readability; both are created when a request arrives.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    /// With `over_limit`, only peer upgrades and operator paths are served.
    caller_connection(caller_worker& owner, tcp::socket socket, bool over_limit);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;

    void start();
    /// Sets the response to the request with this sequence number.
    void reply(std::uint64_t sequence, const rendered_reply& rendered);
    /// True while requests have no response or responses are not written.
    [[nodiscard]] bool is_busy() const;
    void close();

private:
    struct request_pipeline;
    struct slot;

    void arm_read();
    void on_readable();
    void activate();
    void go_idle();
    void wait_for_work();
    void arm_request_timer();
    void on_request_timer();

    void serve();
    bool serve_once();
    void finish();
    void linger();
    void hand_off_to_peer_links();
    boost::system::error_code wait(tcp::socket::wait_type what, steady_time deadline);

    void receive();
    bool read_some();
    bool parse_some();
    void handle_message();
    void handle_statement(slot& target, request_kind kind, const std::string& body);
    void handle_upgrade(std::string_view host);
    slot& add_slot(bool close_after);
    void refuse(const request_fault& fault);
    void answer_fault(slot& target, const request_fault& fault, std::string_view caller_id);
    static void answer(slot& target, int status, std::string_view body, std::string_view type);
    boost::system::error_code send_ready_responses();
    boost::system::error_code write(std::string_view bytes);

    caller_worker& m_owner;
    tcp::socket m_socket;
    std::unique_ptr<request_pipeline> m_pipeline;  // Null while idle.
    bool m_readability_wait_pending = false;       // Only one wait may be pending at a time.
    bool m_over_limit = false;
    bool m_closed = false;
};

}  // namespace jasminelead::daemon
