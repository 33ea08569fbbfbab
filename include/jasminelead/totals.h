#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/context.h"
#include "jasminelead/messages.h"

/// Request counts per day, written to the store as absolute values.
namespace jasminelead {

enum class outcome_kind : std::uint8_t { done, not_run, unknown };
outcome_kind kind_of(const outcome& result);

struct request_counts {
    std::uint64_t done = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t reads = 0;          ///< Reads with the outcome `done`.
    std::uint64_t replica_reads = 0;  ///< Those of `reads` that a replica answered.
    bool operator==(const request_counts&) const = default;
    request_counts& operator+=(const request_counts& other);
};

struct totals_key {
    group_id group;
    service_id service;
    auto operator<=>(const totals_key&) const = default;
};
using day_counts = std::map<totals_key, request_counts>;

/// Prefix of the store keys of all daemons for a day (`YYYY-MM-DD`).
std::string totals_prefix(std::string_view day);
std::string write_json(const day_counts& counts);
std::optional<day_counts> parse_totals(std::string_view text);

/// Counts a daemon's requests and periodically writes the counts to the store.
class totals {
public:
    explicit totals(core_context& context) : m_context{context} {}

    /// Counts one request; `day` is its UTC day, `YYYY-MM-DD`.
    void add(const group_id& group, const service_id& service, outcome_kind kind, bool read,
             bool replica, std::string_view day);
    void tick(instant now, action_list& out);
    [[nodiscard]] std::optional<instant> next_wakeup() const;
    void on_store(const store_answered& answer, instant now, action_list& out);
    /// Writes all counts that are not stored yet, for a planned shutdown.
    void flush(action_list& out);
    /// True if the store has acknowledged all counts.
    [[nodiscard]] bool is_flushed() const;

private:
    struct day_state {
        day_counts counts;
        std::uint64_t changes = 0;
        std::uint64_t stored_changes = 0;
        std::optional<std::uint64_t> call;  // Number of the unanswered put.
        std::uint64_t sent_changes = 0;
        std::optional<instant> finished;  // When a later day was first seen.
        [[nodiscard]] bool is_stored() const { return changes == stored_changes; }
    };

    void put(const std::string& day, day_state& state, action_list& out);
    void put_all(action_list& out);
    void finish_days(instant now, action_list& out);
    duration next_interval();

    core_context& m_context;
    std::map<std::string, day_state, std::less<>> m_days;  // The last one is the current day.
    instant m_next_put;
    std::uint64_t m_call = 0;
    bool m_flushing = false;
    bool m_scheduled = false;
};

}  // namespace jasminelead
