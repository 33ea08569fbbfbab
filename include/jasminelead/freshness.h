#pragma once

#include <array>
#include <optional>
#include <unordered_map>

#include "jasminelead/types.h"

/// Upper bounds on the age of the data that a replica serves.
namespace jasminelead {

/// The primary had this position at some time after `sent`, and was not superseded before `sent`.
struct freshness_mark {
    instant sent;
    term_number term = 0;
    term_number log_term = 0;
    log_position position = 0;
};

/// Bounds of the replication lag of a replica.
struct lag_range {
    duration low;
    duration high;
};

/// Freshness marks of one group in chronological order; older marks are spaced further apart.
class group_marks {
public:
    static constexpr std::size_t capacity = 64;

    void record(const position_stamp& primary, instant sent);
    /// Returns nullopt if no mark proves an age for the stamp.
    [[nodiscard]] std::optional<duration> proven_age(const position_stamp& stamp,
                                                     instant now) const;
    /// Lag of a replica whose stamp was read between the two instants; nullopt without marks.
    [[nodiscard]] std::optional<lag_range> lag(const position_stamp& stamp, instant earliest,
                                               instant latest) const;
    /// Age that a replica with this lag is expected to prove.
    [[nodiscard]] std::optional<duration> expected_age(duration lag, instant now) const;
    /// Time of the oldest mark that contains the position.
    [[nodiscard]] std::optional<instant> reached_at(term_number term, log_position position) const;
    [[nodiscard]] std::size_t size() const { return m_size; }
    /// Null without marks.
    [[nodiscard]] const freshness_mark* newest() const {
        return m_size == 0 ? nullptr : &m_marks[m_size - 1];
    }

private:
    void drop_densest_mark();

    std::array<freshness_mark, capacity> m_marks{};
    std::size_t m_size = 0;
};

class freshness {
public:
    /// `primary` is the stamp of an answer of the primary whose term a majority confirmed after
    /// the call was sent at `sent`.
    void record(const group_id& group, const position_stamp& primary, instant sent);
    [[nodiscard]] std::optional<duration> proven_age(const group_id& group,
                                                     const position_stamp& stamp,
                                                     instant now) const;
    /// The reference stays valid.
    group_marks& marks(const group_id& group) { return m_groups[group]; }

private:
    std::unordered_map<group_id, group_marks> m_groups;
};

}  // namespace jasminelead
