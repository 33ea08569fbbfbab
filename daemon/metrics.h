#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace jasminelead::daemon {

/// Counters, gauges and histograms of the daemon. Thread-safe.
class metrics {
public:
    metrics();

    /// Increments jasminelead_<counter>_total{reason=label}.
    void count(std::string_view counter, std::string_view label);
    /// Adds an observation to the histogram jasminelead_<name>_seconds{of=label}.
    void observe_seconds(std::string_view name, std::string_view label, double seconds);
    [[nodiscard]] double value(std::string_view counter, std::string_view label) const;
    void add_connections(int change) { m_connections.Increment(change); }
    void add_requests_in_progress(int change) { m_in_progress.Increment(change); }
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text();

private:
    using counter_key = std::pair<std::string, std::string>;
    struct key_less {
        using is_transparent = void;
        template <class A, class B>
        bool operator()(const A& a, const B& b) const {
            return std::pair<std::string_view, std::string_view>{a} <
                   std::pair<std::string_view, std::string_view>{b};
        }
    };

    prometheus::Registry m_registry;
    prometheus::Gauge& m_connections;
    prometheus::Gauge& m_in_progress;
    prometheus::Gauge& m_memory;
    mutable std::mutex m_lock;
    std::map<counter_key, prometheus::Counter*, key_less> m_counters;
    std::map<counter_key, prometheus::Histogram*, key_less> m_histograms;
};

/// Resident memory of this process in bytes; 0 when it cannot be read.
double resident_bytes();

}  // namespace jasminelead::daemon
