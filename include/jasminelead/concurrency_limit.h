#pragma once

#include <cstdint>
#include <map>

#include "jasminelead/types.h"

/// How many statements a host runs at one endpoint at a time.
///
/// Load pattern: many hosts press on the few slots of one endpoint, as when a primary serves all
/// reads of a group whose replicas are behind. If each host fills all slots, most statements wait
/// in the endpoint's own queue, where priorities and deadlines do not count. Each host therefore
/// gives way as statements take longer than they usually do, and waits in its own queue instead.
namespace jasminelead {

class concurrency_limit {
public:
    /// At most so many statements, the slots of the endpoint.
    void set_max_allowed(std::uint32_t max);
    /// A statement has ended. Statements of one kind take similar times when the endpoint is idle.
    /// `others_wait`: the host has more work for this endpoint.
    void on_finished(const service_id& kind, duration taken, bool others_wait);
    [[nodiscard]] std::uint32_t allowed() const { return m_allowed; }
    /// How much longer statements take than they usually do.
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
    std::uint32_t m_since_change = 0;  ///< Statements since the limit last changed.
};

}  // namespace jasminelead
