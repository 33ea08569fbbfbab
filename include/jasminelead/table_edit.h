#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminelead/messages.h"
#include "jasminelead/table.h"

/// The compare-and-swap loop that applies one operator's edit to the store, without I/O.
namespace jasminelead {

struct edit_request {
    std::string edit_id;  ///< Unique; identifies the edit after the answer to its write was lost.
    std::string operator_name;
    std::int64_t wall_time_ms = 0;
    std::vector<cell_edit> edits;
};

struct edit_applied {
    revision_number revision = 0;
    bool changed = true;  ///< False if all cells already had the new values.
};
/// Some cells do not have the values that the operator saw. Nothing was changed.
struct edit_conflicted {
    std::vector<cell_conflict> cells;
};
/// The edit would make the table invalid. Nothing was changed.
struct edit_invalid {
    std::vector<cell_error> cells;
};
/// `may_be_applied` is true if the answer to a write was lost, so that its effect is unknown.
struct edit_failed {
    std::string why;
    bool may_be_applied = false;
    bool unreachable = false;  ///< The store did not answer.
};
using edit_outcome = std::variant<edit_applied, edit_conflicted, edit_invalid, edit_failed>;
using edit_step = std::variant<store_request, edit_outcome>;

/// The user performs each returned store request and passes the result to `on_result` until an
/// outcome is returned.
class table_edit {
public:
    explicit table_edit(edit_request request) : m_request{std::move(request)} {}

    edit_step start();
    edit_step on_result(const store_result& result);

private:
    enum class phase { reading_head, reading_snapshot, writing_snapshot, swapping_head };

    edit_step read_head();
    edit_step on_head(const store_result& result);
    edit_step use_head(const store_result& result);
    edit_step on_snapshot(const store_result& result);
    edit_step on_snapshot_written(const store_result& result);
    edit_step on_swapped(const store_result& result);
    edit_step on_unavailable();
    edit_step apply_edit();
    edit_step swap_head();
    [[nodiscard]] std::optional<revision_number> find_own_edit() const;
    [[nodiscard]] bool is_own_edit_id_discarded() const;

    edit_request m_request;
    phase m_phase = phase::reading_head;
    table_head m_head;
    std::uint64_t m_head_version = 0;
    table_snapshot m_base_snapshot;                  // The snapshot named by m_head.
    table m_head_rows;                               // The snapshot with the deltas of m_head.
    table_head m_next;                               // The head to write.
    revision_number m_unanswered_swap_revision = 0;  // Revision of the first unanswered swap, or 0.
    int m_attempts = 0;
};

/// Applies the deltas of a head to its snapshot. Returns nothing if a delta does not apply.
std::optional<table> rows_at_head(const table_head& head, const table& base);

}  // namespace jasminelead
