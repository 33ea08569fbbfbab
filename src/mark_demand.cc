#include "jasminelead/mark_demand.h"

#include <utility>

namespace jasminelead {
namespace {

using namespace literals;

// Well below the staleness limits of routes, with few calls per host.
constexpr duration query_interval = 100_ms;

}  // namespace

std::set<group_id> mark_demand::take(instant now) {
    if (m_groups.empty() || now < m_next_query) {
        return {};
    }
    m_next_query = now + query_interval;
    return std::exchange(m_groups, {});
}

}  // namespace jasminelead
