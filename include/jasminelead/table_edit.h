#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminelead/messages.h"
#include "jasminelead/table.h"

/// The compare-and-swap loop of one operator's edit, without I/O.
namespace jasminelead {

struct edit_request {
    std::string edit_id;  ///< Unique; by it a change with a lost answer is found again.
    std::string operator_name;
    std::int64_t wall_time_ms = 0;
    std::vector<cell_edit> edits;
};

struct edit_applied {
    revision_number revision = 0;
    bool changed = true;  ///< False when all cells held the new values already.
};
/// Cells that do not hold the values that the operator saw. Nothing was changed.
struct edit_conflicted {
    std::vector<cell_conflict> cells;
};
/// Cells that would be out of range. Nothing was changed.
struct edit_invalid {
    std::vector<cell_error> cells;
};
/// `may_be_applied` is true when the answer to a write was lost and its effect is not known.
struct edit_failed {
    std::string why;
    bool may_be_applied = false;
    bool unreachable = false;  ///< The store did not answer.
};
using edit_outcome = std::variant<edit_applied, edit_conflicted, edit_invalid, edit_failed>;
using edit_step = std::variant<store_request, edit_outcome>;

/// A caller performs each store request and passes its result on until an outcome comes back.
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
    table_snapshot m_base_snapshot;                  // The rows of m_head.snapshot.
    table m_head_rows;                               // The rows of m_head.
    table_head m_next;                               // The head to be written.
    revision_number m_unanswered_swap_revision = 0;  // Of the first swap with a lost answer, or 0.
    int m_attempts = 0;
};

/// The rows of a head over its snapshot; nothing when a delta does not apply.
std::optional<table> rows_at_head(const table_head& head, const table& base);

}  // namespace jasminelead
