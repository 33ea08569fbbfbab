#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Test double for a group of endpoints that use the line protocol. Replication is immediate.
namespace jasminelead::support {

/// State that the endpoints of a group share.
struct session_group_state {
    std::mutex lock;
    std::map<std::string, std::string> items;
    std::uint64_t term = 4;
    std::uint64_t position = 0;
    std::string primary;
    int unpromoted_commits = 0;    ///< At endpoints other than the primary.
    std::vector<std::string> log;  ///< Endpoint, statement id and text of each query that was run.
    std::vector<std::string> startups;  ///< Endpoint and the name of who connected.
    std::vector<std::string> runs;      ///< Name of who connected, and text of each query.
};

class session_endpoint {
public:
    session_endpoint(std::shared_ptr<session_group_state> group, std::string group_name,
                     std::string id);
    session_endpoint(const session_endpoint&) = delete;
    session_endpoint& operator=(const session_endpoint&) = delete;
    session_endpoint(session_endpoint&&) = delete;
    session_endpoint& operator=(session_endpoint&&) = delete;
    ~session_endpoint();

    [[nodiscard]] std::string address() const;
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& group_name() const { return m_group_name; }
    /// Runs the next statement with this verb and closes its connection without a response.
    void drop_next_response(std::string verb);
    /// Rejects the next statement with this verb, without running it.
    void refuse_next(std::string verb, std::string code);
    /// Waits before it runs the next statement with this verb.
    void delay_next(std::string verb, std::chrono::milliseconds delay);
    /// Waits before it runs each statement with this verb.
    void delay_all(std::string verb, std::chrono::milliseconds delay);
    /// Statements that wait because of a delay.
    [[nodiscard]] int delayed() const { return m_delayed; }
    /// While busy, it has no free slot for STATUS.
    void set_busy(bool is_busy) { m_is_busy = is_busy; }
    /// Behaves like a primary of this term that does not know its successor: it reports the role
    /// and runs writes, until the platform promotes it.
    void lead_without_promotion(std::uint64_t term) { m_former_term = term; }
    void step_down() { m_former_term = 0; }
    /// Closes all connections and refuses new ones.
    void crash();
    [[nodiscard]] int connections() const { return m_accepted; }
    /// Closes all connections; new ones are refused while `limit` are open.
    void reopen_with_limit(int limit);

private:
    struct session {
        std::map<std::string, std::string> written;  ///< Uncommitted writes.
        std::map<std::string, std::string> prepared;
        std::map<std::string, std::string> values;
        char state = 'I';
        std::string name;  ///< Of who connected.
    };
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket opened) : socket{std::move(opened)} {}
        boost::asio::ip::tcp::socket socket;
        std::thread thread;
    };

    void accept_loop();
    void serve(boost::asio::ip::tcp::socket& socket);
    /// Returns the response to one line; an empty response closes the connection.
    std::string handle_line(session& client_session, std::string_view line);
    std::string run_query(session& client_session, const std::string& id, std::string_view text);
    /// Time to wait before the statement runs.
    std::chrono::milliseconds take_delay(const std::string& verb);
    std::string run_item(session& client_session, const std::string& verb, const std::string& item,
                         const std::string& data);
    std::string commit(session& client_session);
    std::string success_response(const session& client_session, const std::string& rows) const;
    std::string error_response(session& client_session, const std::string& code) const;
    [[nodiscard]] std::string point() const;
    /// True when it accepts writes; call with the group's lock held.
    [[nodiscard]] bool leads() const { return m_group->primary == m_id || m_former_term > 0; }
    [[nodiscard]] std::string status_row() const;

    std::shared_ptr<session_group_state> m_group;
    std::string m_group_name;
    std::string m_id;
    std::mutex m_fault_lock;
    std::string m_dropped_response_verb;
    std::string m_refused_verb;
    std::string m_refused_code;
    std::string m_delayed_verb;
    std::chrono::milliseconds m_delay{0};
    std::string m_slow_verb;
    std::chrono::milliseconds m_slow_delay{0};
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<connection> m_connections;
    std::atomic<bool> m_is_busy = false;
    std::atomic<std::uint64_t> m_former_term = 0;
    std::atomic<bool> m_crashed = false;
    std::atomic<int> m_accepted = 0;
    std::atomic<int> m_delayed = 0;
    std::atomic<int> m_open_connections = 0;
    std::atomic<int> m_connection_limit = 1000;
    std::thread m_thread;
};

}  // namespace jasminelead::support
