#include "jasminelead/freshness.h"

#include <algorithm>
#include <limits>

namespace jasminelead {
namespace {

using namespace literals;

// Closer marks would be more precise than callers need.
constexpr duration mark_spacing = 5_ms;

/// A log that ends in the mark's log term is a prefix or an extension of the primary's log. A log
/// that ends in the mark's term was copied from that primary. Other logs may have diverged, even
/// when their position is higher: a fence raises an endpoint's term before its log is cut.
bool covers(const position_stamp& stamp, const freshness_mark& mark) {
    const bool same_log = stamp.log_term == mark.log_term || stamp.log_term == mark.term;
    return same_log && stamp.position >= mark.position;
}

}  // namespace

void group_marks::record(const position_stamp& primary, instant sent) {
    const freshness_mark mark{sent, primary.term, primary.log_term, primary.position};
    if (m_size > 0) {
        const freshness_mark& last = m_marks.at(m_size - 1);
        if (mark.term < last.term || sent <= last.sent) {
            return;
        }
    }
    // A later mark at the same or a lower position proves a lower age than the earlier one.
    while (m_size > 0 && m_marks.at(m_size - 1).term == mark.term &&
           m_marks.at(m_size - 1).position >= mark.position) {
        --m_size;
    }
    // The newest mark is always kept; the one before it is dropped if its neighbours are close.
    if (m_size >= 2 && sent - m_marks.at(m_size - 2).sent < mark_spacing) {
        --m_size;
    }
    if (m_size == capacity) {
        drop_densest_mark();
    }
    m_marks.at(m_size++) = mark;
}

/// Drops the mark whose removal leaves the smallest gap relative to its age. Gaps thus grow with
/// age, and the marks cover ages from milliseconds to hours.
void group_marks::drop_densest_mark() {
    const instant newest = m_marks.at(m_size - 1).sent;
    std::size_t dropped = 1;
    double least = std::numeric_limits<double>::max();
    for (std::size_t i = 1; i + 1 < m_size; ++i) {
        const double gap = (m_marks.at(i + 1).sent - m_marks.at(i - 1).sent).ms();
        const double share = gap / (newest - m_marks.at(i).sent).ms();
        if (share < least) {
            least = share;
            dropped = i;
        }
    }
    std::move(m_marks.begin() + dropped + 1, m_marks.begin() + m_size, m_marks.begin() + dropped);
    --m_size;
}

std::optional<duration> group_marks::proven_age(const position_stamp& stamp, instant now) const {
    for (std::size_t i = m_size; i > 0; --i) {
        if (covers(stamp, m_marks[i - 1])) {
            return now - m_marks[i - 1].sent;
        }
    }
    return std::nullopt;
}

std::optional<lag_range> group_marks::lag(const position_stamp& stamp, instant earliest,
                                          instant latest) const {
    if (m_size == 0) {
        return std::nullopt;
    }
    lag_range range{duration{}, duration::max()};
    for (std::size_t i = m_size; i > 0; --i) {
        const freshness_mark& mark = m_marks[i - 1];
        if (covers(stamp, mark)) {
            range.high = std::max(latest - mark.sent, range.low);
            break;
        }
        range.low = std::max(earliest - mark.sent, duration{});
    }
    return range;
}

std::optional<duration> group_marks::expected_age(duration lag, instant now) const {
    for (std::size_t i = m_size; i > 0; --i) {
        const duration age = now - m_marks[i - 1].sent;
        if (age >= lag) {
            return age;
        }
    }
    return std::nullopt;
}

std::optional<instant> group_marks::reached_at(term_number term, log_position position) const {
    std::optional<instant> first;
    for (std::size_t i = m_size; i > 0; --i) {
        const freshness_mark& mark = m_marks[i - 1];
        const bool contains =
            mark.log_term > term || (mark.log_term == term && mark.position >= position);
        if (!contains) {
            break;
        }
        first = mark.sent;
    }
    return first;
}

void freshness::record(const group_id& group, const position_stamp& primary, instant sent) {
    if (primary.role == endpoint_role::primary) {
        m_groups[group].record(primary, sent);
    }
}

std::optional<duration> freshness::proven_age(const group_id& group, const position_stamp& stamp,
                                              instant now) const {
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return std::nullopt;
    }
    return found->second.proven_age(stamp, now);
}

}  // namespace jasminelead
