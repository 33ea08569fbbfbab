#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "soak/service.h"
#include "soak/sockets.h"

namespace jasminelead::soak {

/// Stand-in for one database instance.
class instance {
public:
    instance(service& owner, store& keys, std::string id, std::string zone, std::uint16_t port = 0);

    // Settings; change them under the service's lock.
    bool is_primary = false;
    bool is_draining = false;
    bool is_deaf = false;            ///< Receives nothing.
    bool is_cut_off = false;         ///< From the other instances of the service.
    std::set<std::string> cut_from;  ///< Hosts that are cut off from this instance, in silence.
    double lag_ms = 60;              ///< From receiving to applying.
    double work_ms = 6;
    unsigned slots = 3;
    std::size_t queue = 2;  ///< Statements of any kind that wait for a slot; others get BUSY.
    std::size_t max_connections = 22;
    double handshake_ms = 12;
    double lost_share = 0;  ///< Of the statements that were run, whose answer is lost.

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& zone() const { return m_zone; }
    /// The address in the list; a caller connects to its own port.
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }
    /// A port of one host, by which the instance knows its connections.
    std::uint16_t add_caller(const std::string& host);
    [[nodiscard]] bool is_running() const { return !m_crashed; }
    [[nodiscard]] const std::vector<commit>& log() const { return m_log; }
    [[nodiscard]] std::uint64_t term() const { return m_term; }
    [[nodiscard]] log_point last_point() const;

    /// Ends without a word; all connections break.
    void crash();
    /// Comes back with its log: a replica if another instance was promoted.
    void restart();
    /// Ends for good; false if it has left already.
    bool leave();
    /// Changes settings and reports them at once.
    void change(const std::function<void()>& edit);
    /// Fills the log at the start of the day.
    void preload(std::size_t commits);
    /// Writes the entry of the list.
    void report();

    // Called under the service's lock.
    void become_primary();
    void take_over(const instance& ended);
    /// Follows a reachable primary. True when the listed role changes.
    bool keep_in_touch();

private:
    using lock_type = std::unique_lock<std::mutex>;

    struct session {
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
        std::string host;
        std::string account;  ///< Name of who connected.
        int life = 0;         ///< Of the instance when the connection was opened.
        char state = 'I';
        bool read_only = false;
        std::uint64_t term = 0;
        std::vector<std::pair<std::string, std::string>> writes;
        std::vector<std::string> write_ids;
    };
    struct statement {
        std::string id;
        std::string verb;
        std::string rest;  ///< After the verb and the name of a prepared statement.
        std::string text;  ///< As the record shows it.
        std::optional<log_point> after;
        double arrived = 0;
    };

    void beat();
    void append(const commit& added, double apply_at);
    [[nodiscard]] std::size_t applied() const;
    [[nodiscard]] log_point point() const;
    [[nodiscard]] bool has(const log_point& required) const;
    [[nodiscard]] bool reaches(const instance& other) const;
    /// Takes the log of the primary: rolls back what it lacks, receives what is new.
    void follow(const instance& primary);
    void set_role(bool primary);
    [[nodiscard]] bool listed_role() const;

    void serve(int fd, const std::string& host);
    bool is_cut_from(const std::string& host);
    bool is_answer_lost();
    [[nodiscard]] bool is_over(const session& open) const { return m_life != open.life; }
    std::optional<std::string> answer(session& open, const std::string& line, bool& started);
    std::optional<std::string> start(session& open, const std::string& line, bool& started);
    [[nodiscard]] std::string ready(const session& open) const;
    std::string signature();
    std::string done(const session& open, const std::string& rows = "");
    std::string error(session& open, const std::string& code) const;
    std::optional<std::string> handle(session& open, const std::string& line);
    std::string query(session& open, const std::string& id, const std::string& text);
    std::string control(session& open, const statement& item);
    std::string command(session& open, const statement& item);
    [[nodiscard]] std::string status_row() const;
    std::string in_slot(session& open, const statement& item);
    std::string run(lock_type& lock, session& open, const statement& item);
    std::string read_item(const std::string& name) const;
    std::string finish(lock_type& lock, session& open, const statement& item);
    [[nodiscard]] bool is_received(const log_point& point) const;

    service& m_service;
    store& m_store;
    std::string m_id;
    std::string m_zone;
    std::atomic<std::int64_t> m_born;
    std::uint64_t m_term = 3;
    std::vector<commit> m_log;
    std::vector<double> m_apply_at;
    std::set<int> m_connections;
    unsigned m_busy = 0;
    std::size_t m_waiting = 0;
    std::condition_variable m_free_slot;
    std::atomic<bool> m_crashed = false;
    std::atomic<int> m_life = 0;  ///< Increases with each crash.
    bool m_is_paused = false;
    bool m_has_left = false;
    std::uint64_t m_seq = 0;
    std::uint64_t m_signatures = 0;
    double m_reaches_leader_since = -1;
    std::deque<std::pair<double, bool>> m_roles;  ///< Changes of the role, with their times.
    bool m_reported_role = false;
    std::mutex m_report_lock;
    std::string m_reported;  ///< The last entry without its `seq`.
    std::minstd_rand m_random;
    listener m_listener;
    std::map<std::string, std::unique_ptr<listener>> m_host_listeners;
};

}  // namespace jasminelead::soak
