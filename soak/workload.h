#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak/client.h"
#include "soak/deployment.h"

/// Clients that use a deployment, and what each of them was told.
namespace jasminelead::soak {

struct statement_record {
    std::string id;
    std::string text;  ///< A prepared statement with its shape in place of its name.
    double sent = 0;
    double received = 0;
    bool is_done = false;  ///< Answered with success.
    std::string signature;
    std::string rows;
};

enum class attempt_outcome {
    done,
    promised,  ///< Nothing is kept.
    unknown,
};

/// One try of an operation: a single statement or a transaction.
struct attempt_record {
    std::uint64_t session = 0;
    std::string host;
    std::string account;  ///< Empty without accounts.
    std::string key;
    std::string route_type;
    int max_stale_ms = 0;
    attempt_outcome outcome = attempt_outcome::unknown;
    std::vector<statement_record> statements;
};

struct load_settings {
    std::size_t clients = 36;
    double pause_ms = 40;       ///< Mean time between two operations of a client.
    double write_share = 0.35;  ///< Single writes on routes that write.
    double transaction_share = 0.3;
    double prepared_share = 0.1;
};

class workload {
public:
    workload(deployment& all, load_settings load, unsigned seed);
    ~workload() { stop(); }
    workload(const workload&) = delete;
    workload& operator=(const workload&) = delete;
    void start();
    /// Adds clients for a while.
    void burst(std::size_t clients, double length_ms);
    /// The clients pause longer from now on.
    void calm_down() { m_pause_factor = calm_factor; }
    /// Returns when all clients have ended.
    void stop();
    /// What all clients were told.
    std::vector<attempt_record> attempts();

private:
    struct session_state {
        std::unique_ptr<client> link;
        std::uint64_t number = 0;
        std::string host;
        std::size_t client_number = 0;
        account owner;  ///< The client's account, with the key that it presented.
        std::string prepared_read;
        std::string prepared_write;
    };
    using random_source = std::mt19937;
    static constexpr double calm_factor = 4;

    void run_client(std::size_t number, double end);
    bool open(session_state& session, const route& used, random_source& random);
    bool prepare(session_state& session, const route& used, random_source& random);
    void play_operation(session_state& session, const route& used, random_source& random);
    attempt_record play_attempt(session_state& session, const route& used,
                                const std::vector<std::string>& texts, double pause_ms);
    std::vector<std::string> make_operation(const session_state& session, const route& used,
                                            random_source& random) const;
    std::string make_statement(const session_state& session, bool is_write, bool may_prepare,
                               random_source& random) const;

    deployment& m_all;
    load_settings m_load;
    unsigned m_seed;
    std::atomic<bool> m_running = true;
    std::atomic<double> m_pause_factor = 1;
    std::atomic<std::uint64_t> m_sessions = 0;
    std::atomic<std::size_t> m_extra = 0;
    std::mutex m_lock;
    std::vector<attempt_record> m_attempts;
    std::list<std::thread> m_threads;
};

/// Whether a client repeats the operation with new ids.
bool may_retry(const attempt_record& attempt);

}  // namespace jasminelead::soak
