#include "jasminelead/mark_demand.h"

#include <utility>

namespace jasminelead {
namespace {

using namespace literals;

// Much shorter than the staleness that routes allow, and few calls for each host.
constexpr duration question_interval = 100_ms;

}  // namespace

std::set<group_id> mark_demand::take(instant now) {
    if (m_wanted.empty() || now < m_next) {
        return {};
    }
    m_next = now + question_interval;
    return std::exchange(m_wanted, {});
}

}  // namespace jasminelead
