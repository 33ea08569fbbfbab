#include "jasminelead/read_bounds.h"

#include <algorithm>

namespace jasminelead {
namespace {

using namespace literals;

constexpr duration mark_spacing = 20_ms;
// Exceeds the highest staleness limit of any route; older marks are of no use.
constexpr duration mark_lifetime = 12_s;

}  // namespace

/// A permit that was valid before and is valid now shows that the endpoint was the primary when the
/// statement was sent. A transaction can outlive its permit, and end with success at a primary that
/// was replaced meanwhile.
std::optional<primary_mark> mark_from(const primary_answer& answer, const primary_lease& lease,
                                      const group_id& group) {
    if (!lease.is_valid(group, answer.permit, answer.received)) {
        return std::nullopt;
    }
    return primary_mark{answer.sent, answer.point, answer.permit.revision};
}

void read_bounds::record(const primary_mark& mark) {
    if (!m_marks.empty()) {
        const primary_mark& last = m_marks.back();
        if (mark.leadership < last.leadership || mark.sent <= last.sent) {
            return;
        }
        // The promotion may have rolled back positions of an earlier primary.
        if (mark.leadership > last.leadership) {
            m_marks.clear();
        }
    }
    // The newest mark is always kept; its predecessor is dropped if its neighbours are close.
    const std::size_t size = m_marks.size();
    if (size >= 2 && mark.sent - m_marks[size - 2].sent < mark_spacing) {
        m_marks.pop_back();
    }
    m_marks.push_back(mark);
    while (mark.sent - m_marks.front().sent > mark_lifetime) {
        m_marks.pop_front();
    }
}

std::optional<log_point> read_bounds::required(instant arrived, duration max_stale,
                                               const session_writes& own) const {
    const instant since = arrived - max_stale;
    const auto oldest = std::partition_point(m_marks.begin(), m_marks.end(),
                                             [since](const auto& m) { return m.sent < since; });
    if (oldest == m_marks.end()) {
        return std::nullopt;
    }
    if (!own.point) {
        return oldest->point;
    }
    if (own.leadership == oldest->leadership) {
        return std::max(oldest->point, *own.point);
    }
    // The write was made under an earlier record. A new record names a primary only when no host
    // uses the earlier one any more, also if it names the same endpoint again because a replacement
    // was called off. An acknowledged write is therefore below the first mark under the new record,
    // unless the promotion rolled it back.
    if (own.leadership < oldest->leadership) {
        return oldest->point;
    }
    return std::nullopt;
}

duration read_bounds::lag(const log_point& point, instant now) const {
    const auto above = std::partition_point(m_marks.begin(), m_marks.end(),
                                            [&point](const auto& m) { return m.point <= point; });
    return above == m_marks.end() ? duration{} : std::max(now - above->sent, duration{});
}

}  // namespace jasminelead
