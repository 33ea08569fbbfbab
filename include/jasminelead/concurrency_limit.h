#pragma once

#include <cstdint>
#include <map>

#include "jasminelead/types.h"

/// Adaptive limit on the statements that a host runs concurrently at one endpoint.
///
/// Load pattern: many hosts compete for the few slots of one endpoint, for example when a primary
/// serves all reads of a group whose replicas lag. If each host filled all slots, most statements
/// would wait in the endpoint's own queue, which ignores priorities and deadlines. Each host
/// therefore lowers its limit when statements take longer than their baseline, and queues the rest
/// itself.
namespace jasminelead {

class concurrency_limit {
public:
    /// Sets the upper bound of the limit, the number of slots of the endpoint.
    void set_max_allowed(std::uint32_t max);
    /// Records the duration of a statement. Statements of one kind take similar times on an idle
    /// endpoint. `others_wait`: the host has more statements queued for this endpoint.
    void on_finished(const service_id& kind, duration taken, bool others_wait);
    [[nodiscard]] std::uint32_t allowed() const { return m_allowed; }
    /// Smoothed ratio of statement times to their baseline.
    [[nodiscard]] double slowdown() const { return m_slowdown; }

private:
    struct latency_baseline {
        double us = 0;  ///< Zero before the first batch.
        double batch_sum = 0;
        std::uint32_t batch_size = 0;
    };
    void update_baseline(latency_baseline& baseline, duration taken);
    void adjust_limit(bool others_wait);

    std::uint32_t m_max_allowed = 1;
    std::uint32_t m_allowed = 1;
    std::map<service_id, latency_baseline> m_baselines;
    double m_slowdown = 1;
    std::uint32_t m_since_change = 0;  ///< Statements since the last change of the limit.
};

}  // namespace jasminelead
