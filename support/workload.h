#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testbed.h"

/// Simulated callers of a testbed, and a checker that compares their replies with the statements
/// that were executed.
namespace jasminelead::support {

struct workload_settings {
    std::size_t sessions = 30;
    duration think_time = duration::from_ms(20);  ///< Mean time between requests of a session.
    duration timeout = duration::from_ms(5000);
    double reads = 0.7;          ///< Fraction of requests that are reads.
    double max_age_reads = 0.5;  ///< Fraction of reads of another session's data, with a max age.
    double transactions = 0.1;   ///< Fraction of writes that are transactions of two statements.
    double idempotent = 0.3;     ///< Fraction of single writes that are marked idempotent.
};

struct workload_report {
    std::uint64_t requests = 0;
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t reads = 0;          ///< Completed reads.
    std::uint64_t replica_reads = 0;  ///< Of these, served by a replica.
    std::uint64_t max_age_reads = 0;
    std::uint64_t max_age_replica_reads = 0;
    std::map<std::string, std::uint64_t> not_run_reasons;
    std::map<std::string, std::uint64_t> violations;  ///< Count by violated guarantee.
};

class workload {
public:
    workload(testbed& bed, workload_settings settings);
    ~workload();
    workload(const workload&) = delete;
    workload& operator=(const workload&) = delete;

    void start();
    /// Sessions complete their current request and send no more.
    void stop() { m_stopped = true; }
    [[nodiscard]] bool idle() const { return m_in_flight == 0; }
    /// Call after the faults are reverted and replication has caught up.
    void check_final_state();
    [[nodiscard]] const workload_report& report() const { return m_report; }
    [[nodiscard]] std::uint64_t violations() const;

private:
    struct session;
    struct write;

    void schedule_next(session& caller);
    void read_own_session(session& caller);
    void read_other_session(session& caller);
    void write_single(session& caller);
    void write_transaction(session& caller);
    void execute_remaining(session& caller, const std::shared_ptr<write>& transaction,
                           std::size_t index);
    void roll_back_or_abandon(session& caller, const std::shared_ptr<write>& transaction);
    void commit(session& caller, const std::shared_ptr<write>& transaction);
    void finish_write(session& caller, const std::shared_ptr<write>& written,
                      const std::optional<caller_reply>& reply);
    void send(session& caller, caller_request request, testbed::reply_handler handler);
    void check_read_value(const session& caller, const std::string& key, const std::string& value);
    void check_primary_log(const group_id& group);
    void record_violation(promise which) { ++m_report.violations[std::string{to_string(which)}]; }
    [[nodiscard]] caller_request request(const session& caller, request_kind kind) const;
    [[nodiscard]] host_id choose_host();
    [[nodiscard]] bool chance(double probability);

    testbed& m_testbed;
    workload_settings m_settings;
    std::vector<std::unique_ptr<session>> m_sessions;
    std::vector<std::shared_ptr<write>> m_writes;
    workload_report m_report;
    std::size_t m_in_flight = 0;
    bool m_stopped = false;
};

}  // namespace jasminelead::support
