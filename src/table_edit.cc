#include "jasminelead/table_edit.h"

#include <algorithm>
#include <utility>

namespace jasminelead {
namespace {

/// Conflicts and lost answers after which an edit gives up.
constexpr int max_attempts = 20;
/// The store accepts values of up to 1 MB. The remainder allows for the deltas and the escaping of
/// the head.
constexpr std::size_t max_delta_bytes = 262'144;
constexpr std::size_t max_head_bytes = 655'360;

edit_step failed(std::string why, bool may_be_applied) {
    return edit_outcome{edit_failed{std::move(why), may_be_applied, false}};
}

std::string last_edit_id(const table_head& head, const table_snapshot& base) {
    if (!head.deltas.empty()) {
        return head.deltas.back().edit_id;
    }
    return base.edit_ids.empty() ? std::string{} : base.edit_ids.back();
}

/// Edit ids of the last deltas that a snapshot at the head's revision contains.
std::vector<std::string> compacted_edit_ids(const table_head& head, const table_snapshot& base) {
    std::vector<std::string> ids = base.edit_ids;
    for (const table_delta& delta : head.deltas) {
        ids.push_back(delta.edit_id);
    }
    if (ids.size() > max_head_deltas) {
        ids.erase(ids.begin(), ids.end() - max_head_deltas);
    }
    return ids;
}

}  // namespace

std::optional<table> rows_at_head(const table_head& head, const table& base) {
    table rows = base;
    for (const table_delta& delta : head.deltas) {
        apply_result applied = apply(rows, delta);
        if (!applied.result) {
            return std::nullopt;
        }
        rows = std::move(*applied.result);
    }
    return rows;
}

edit_step table_edit::start() {
    return read_head();
}

edit_step table_edit::on_result(const store_result& result) {
    if (result.status == store_status::unavailable) {
        return on_unavailable();
    }
    switch (m_phase) {
        case phase::reading_head:
            return on_head(result);
        case phase::reading_snapshot:
            return on_snapshot(result);
        case phase::writing_snapshot:
            return on_snapshot_written(result);
        default:
            return on_swapped(result);
    }
}

edit_step table_edit::read_head() {
    m_phase = phase::reading_head;
    return store_request{store_get{std::string{head_key}}};
}

edit_step table_edit::on_unavailable() {
    if (m_phase == phase::swapping_head && m_unanswered_swap_revision == 0) {
        m_unanswered_swap_revision = m_next.revision;
    }
    if (++m_attempts >= max_attempts) {
        return edit_outcome{
            edit_failed{"the store does not answer", m_unanswered_swap_revision != 0, true}};
    }
    // Read the head again, which shows whether an unanswered swap took effect.
    return read_head();
}

edit_step table_edit::on_head(const store_result& result) {
    if (result.status == store_status::missing) {
        m_head = {};
        m_head_version = 0;
        m_base_snapshot = {};
        return apply_edit();
    }
    return use_head(result);
}

edit_step table_edit::use_head(const store_result& result) {
    auto head = parse_head(result.value);
    if (!head) {
        return failed("the value of table/head is malformed", m_unanswered_swap_revision != 0);
    }
    const bool same_base = m_base_snapshot.rows.revision == snapshot_revision(head->snapshot);
    m_head = std::move(*head);
    m_head_version = result.version;
    if (same_base) {
        return apply_edit();
    }
    if (m_head.snapshot.empty()) {
        m_base_snapshot = {};
        return apply_edit();
    }
    m_phase = phase::reading_snapshot;
    return store_request{store_get{m_head.snapshot}};
}

edit_step table_edit::on_snapshot(const store_result& result) {
    auto snapshot = parse_snapshot(result.value);
    const bool usable = result.status == store_status::ok && snapshot &&
                        snapshot->rows.revision == snapshot_revision(m_head.snapshot);
    if (!usable) {
        return failed(m_head.snapshot + " is missing, malformed or of another revision",
                      m_unanswered_swap_revision != 0);
    }
    m_base_snapshot = std::move(*snapshot);
    return apply_edit();
}

std::optional<revision_number> table_edit::find_own_edit() const {
    const auto delta =
        std::find_if(m_head.deltas.begin(), m_head.deltas.end(),
                     [this](const auto& item) { return item.edit_id == m_request.edit_id; });
    if (delta != m_head.deltas.end()) {
        return delta->revision;
    }
    const auto& ids = m_base_snapshot.edit_ids;
    const auto id = std::find(ids.begin(), ids.end(), m_request.edit_id);
    if (id != ids.end()) {
        return m_base_snapshot.rows.revision - static_cast<revision_number>(ids.end() - id) + 1;
    }
    return std::nullopt;
}

/// True if so many edits followed an unanswered swap that its edit id is no longer stored.
bool table_edit::is_own_edit_id_discarded() const {
    return m_unanswered_swap_revision != 0 &&
           m_unanswered_swap_revision + m_base_snapshot.edit_ids.size() <=
               m_base_snapshot.rows.revision;
}

edit_step table_edit::apply_edit() {
    if (const auto revision = find_own_edit()) {
        return edit_outcome{edit_applied{*revision, true}};
    }
    if (is_own_edit_id_discarded()) {
        return failed("cannot tell whether the edit was applied: too many edits followed it", true);
    }
    auto present = rows_at_head(m_head, m_base_snapshot.rows);
    if (!present) {
        return failed("the deltas in table/head do not apply to their snapshot", false);
    }
    m_head_rows = std::move(*present);
    table_delta delta{m_head.revision + 1,     m_request.edit_id,
                      m_request.operator_name, m_request.wall_time_ms,
                      m_request.edits,         last_edit_id(m_head, m_base_snapshot)};
    apply_result applied = apply(m_head_rows, delta);
    if (!applied.conflicts.empty()) {
        return edit_outcome{edit_conflicted{std::move(applied.conflicts)}};
    }
    if (!applied.result) {
        return edit_outcome{edit_invalid{std::move(applied.errors)}};
    }
    if (auto errors = validate(*applied.result); !errors.empty()) {
        return edit_outcome{edit_invalid{std::move(errors)}};
    }
    // Store all cells of a new row, so that a later version with other defaults reads the same
    // table.
    delta.edits = difference(m_head_rows, *applied.result);
    if (delta.edits.empty()) {
        return edit_outcome{edit_applied{m_head.revision, false}};
    }
    if (write_json(delta).size() > max_delta_bytes) {
        return edit_outcome{edit_invalid{
            {{"edit", "is larger than " + std::to_string(max_delta_bytes) + " bytes; split it"}}}};
    }
    m_next = m_head;
    m_next.revision = delta.revision;
    m_next.deltas.push_back(std::move(delta));
    return swap_head();
}

edit_step table_edit::swap_head() {
    const bool full = m_next.deltas.size() > max_head_deltas;
    std::string value = write_json(m_next);
    if (full || (value.size() > max_head_bytes && m_next.deltas.size() > 1)) {
        m_next.snapshot = snapshot_key(m_head.revision);
        m_next.deltas.erase(m_next.deltas.begin(), m_next.deltas.end() - 1);
        m_phase = phase::writing_snapshot;
        const table_snapshot snapshot{m_head_rows, compacted_edit_ids(m_head, m_base_snapshot)};
        return store_request{store_cas{m_next.snapshot, write_json(snapshot), 0}};
    }
    m_phase = phase::swapping_head;
    return store_request{store_cas{std::string{head_key}, std::move(value), m_head_version}};
}

edit_step table_edit::on_snapshot_written(const store_result& result) {
    if (result.status == store_status::missing) {
        return failed("the store did not accept " + m_next.snapshot,
                      m_unanswered_swap_revision != 0);
    }
    if (result.status == store_status::conflict) {
        // A concurrent edit of the same head has written the same snapshot. One with other content
        // stems from a store that was restored from a backup, and would give all daemons a wrong
        // table.
        const auto existing = parse_snapshot(result.value);
        if (!existing || existing->rows != m_head_rows) {
            return failed(m_next.snapshot + " already exists with other content",
                          m_unanswered_swap_revision != 0);
        }
    }
    m_phase = phase::swapping_head;
    return store_request{store_cas{std::string{head_key}, write_json(m_next), m_head_version}};
}

edit_step table_edit::on_swapped(const store_result& result) {
    if (result.status == store_status::ok) {
        return edit_outcome{edit_applied{m_next.revision, true}};
    }
    if (++m_attempts >= max_attempts) {
        return failed("gave up after " + std::to_string(max_attempts) +
                          " attempts: conflict with a concurrent edit",
                      m_unanswered_swap_revision != 0);
    }
    return read_head();
}

}  // namespace jasminelead
