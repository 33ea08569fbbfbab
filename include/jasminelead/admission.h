#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "jasminelead/reason.h"
#include "jasminelead/types.h"

/// Admission queue of one endpoint: weighted fair queueing between services, earliest deadline
/// first within a service.
namespace jasminelead {

struct admission_request {
    std::uint64_t number = 0;  ///< Key chosen by the caller; unique in the queue.
    service_id service;
    std::uint32_t share = 1;  ///< Weight of the service.
    instant deadline;
    bool holds_connection = false;  ///< A statement of an open transaction.
    account_id account{};           ///< Account that the connection has to belong to.
};

/// Statements of one account that wait for a connection.
struct account_demand {
    account_id account;
    std::uint32_t waiting = 0;
    instant first_deadline;
};

class admission {
public:
    static constexpr std::size_t capacity = 256;

    struct verdict {
        std::optional<reason> refused;
        std::optional<std::uint64_t> evicted;  ///< Entry evicted to make room for the new one.
    };
    struct dispatched {
        std::uint64_t number = 0;
        duration charged;  ///< Estimated work, charged until the actual time is known.
    };
    using service_predicate = std::function<bool(const service_id&)>;
    using account_predicate = std::function<bool(const account_id&)>;

    verdict push(const admission_request& request, std::uint32_t slots, instant now);
    /// Removes and returns the next entry. Entries that hold no connection require
    /// `connection_idle` and a service for which `below_share` returns true.
    std::optional<dispatched> pop(bool connection_idle, const service_predicate& below_share);
    /// Removes and returns the next entry. Entries that hold no connection require an account for
    /// which `has_connection` returns true; those of other accounts are passed over.
    std::optional<dispatched> pop_for_account(const account_predicate& has_connection);
    /// Replaces the charge of a statement with its actual duration.
    void complete(const service_id& service, duration charged, duration taken);
    /// Reverts the charge of an entry that was popped but not run.
    void refund(const service_id& service, duration charged);
    bool remove(const service_id& service, std::uint64_t number);
    /// Removes and returns the entries whose deadline is at or before `now`.
    std::vector<std::uint64_t> take_expired(instant now);

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] std::optional<instant> next_deadline() const;
    /// Mean statement time; zero before the first statement finished.
    [[nodiscard]] duration mean_time() const { return m_mean; }

    /// Accounts whose statements wait for a connection; the most urgent first.
    [[nodiscard]] std::vector<account_demand> waiting_accounts() const;
    /// Calls `visit(service, count)` for each service with entries that need a connection.
    template <class Visitor>
    void visit_waiting(Visitor visit) const {
        for (const auto& [service, queue] : m_service_queues) {
            if (!queue.unbound.empty()) {
                visit(service, queue.unbound.size());
            }
        }
    }

private:
    struct entry {
        instant deadline;
        std::uint64_t number = 0;
        account_id account;
    };
    using entries = std::vector<entry>;  // Latest deadline first; the next entry is at the back.
    struct service_queue {
        double share = 1;
        double start = 0;  // Virtual start time: us of work divided by the share.
        entries bound;     // Entries that hold a connection.
        entries unbound;
        [[nodiscard]] std::size_t size() const { return bound.size() + unbound.size(); }
    };
    using service_queue_map = std::map<service_id, service_queue>;

    [[nodiscard]] duration expected_wait(const service_queue& queue, instant deadline,
                                         std::uint32_t slots) const;
    std::optional<std::uint64_t> evict_for(const service_queue& incoming);
    std::optional<dispatched> pop_next(const service_predicate& below_share,
                                       const account_predicate& has_connection);
    dispatched take(service_queue& queue, entries& from, entries::iterator at);

    service_queue_map m_service_queues;
    std::size_t m_size = 0;
    double m_virtual_time = 0;
    duration m_mean;
};

}  // namespace jasminelead
