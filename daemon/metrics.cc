#include "metrics.h"

#include <prometheus/text_serializer.h>
#include <unistd.h>

#include <fstream>

namespace jasminelead::daemon {
namespace {

prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

metrics::metrics()
    : m_connections{gauge(m_registry, "jasminelead_client_connections", "Open connections.")},
      m_in_progress{gauge(m_registry, "jasminelead_requests_in_progress",
                          "Caller requests that wait for their answer.")},
      m_memory{gauge(m_registry, "jasminelead_resident_bytes", "Resident memory.")} {}

void metrics::count(std::string_view counter, std::string_view label) {
    const std::lock_guard lock{m_lock};
    const std::pair<std::string_view, std::string_view> key{counter, label};
    auto found = m_counters.find(key);
    if (found == m_counters.end()) {
        const std::string name = "jasminelead_" + std::string{counter} + "_total";
        auto& family = prometheus::BuildCounter().Name(name).Register(m_registry);
        auto& created = family.Add({{"reason", std::string{label}}});
        found = m_counters.emplace(counter_key{counter, label}, &created).first;
    }
    found->second->Increment();
}

void metrics::observe_seconds(std::string_view name, std::string_view label, double seconds) {
    static const prometheus::Histogram::BucketBoundaries bounds{0.005, 0.01, 0.025, 0.05, 0.1,
                                                                0.25,  0.5,  1,     2.5,  5};
    const std::lock_guard lock{m_lock};
    const std::pair<std::string_view, std::string_view> key{name, label};
    auto found = m_histograms.find(key);
    if (found == m_histograms.end()) {
        const std::string full = "jasminelead_" + std::string{name} + "_seconds";
        auto& family = prometheus::BuildHistogram().Name(full).Register(m_registry);
        auto& created = family.Add({{"of", std::string{label}}}, bounds);
        found = m_histograms.emplace(counter_key{name, label}, &created).first;
    }
    found->second->Observe(seconds);
}

double metrics::value(std::string_view counter, std::string_view label) const {
    const std::lock_guard lock{m_lock};
    const auto found =
        m_counters.find(std::pair<std::string_view, std::string_view>{counter, label});
    return found == m_counters.end() ? 0 : found->second->Value();
}

std::string metrics::text() {
    m_memory.Set(resident_bytes());
    return prometheus::TextSerializer{}.Serialize(m_registry.Collect());
}

double resident_bytes() {
    std::ifstream file{"/proc/self/statm"};
    double total_pages = 0;
    double resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

}  // namespace jasminelead::daemon
