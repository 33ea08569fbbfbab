#include <algorithm>
#include <utility>

#include "jasminelead/table_edit.h"
#include "jasminelead/table_sync.h"

namespace jasminelead {
namespace {

using namespace literals;

constexpr duration call_timeout = 10_s;
/// The store ends a watch after 30 s.
constexpr duration watch_timeout = 45_s;
/// After a shorter watch without a change, the next one starts only after a backoff.
constexpr duration min_watch_duration = 1_s;
/// A store that lost its data restarts its versions at 1, so a watch for versions above the old one
/// would never see a change. Reading the head after every tenth watch, about every 5 minutes,
/// detects this.
constexpr int watches_per_head_read = 10;

}  // namespace

void table_sync::call_store(store_phase phase, store_request request, instant now,
                            action_list& out) {
    m_phase = phase;
    m_call_started = now;
    m_store_deadline = now + (phase == store_phase::watching_head ? watch_timeout : call_timeout);
    out.emplace_back(store_call{{call_module::table, ++m_call}, std::move(request)});
}

void table_sync::next_store_call(instant now, action_list& out) {
    if (!m_relay && m_context.config) {
        m_phase = store_phase::idle;
        m_read_before_watch = true;
        return;
    }
    const std::string key{head_key};
    if (m_read_before_watch) {
        call_store(store_phase::reading_head, store_get{key}, now, out);
    } else {
        call_store(store_phase::watching_head, store_watch{key, m_head_version}, now, out);
    }
}

void table_sync::wait_for_store(instant now) {
    m_phase = store_phase::waiting;
    m_store_deadline = now + next_backoff(m_store_backoff);
    m_read_before_watch = true;
    ++m_call;  // Ignores a late answer to the previous call.
}

void table_sync::on_store(const store_answered& answer, instant now, action_list& out) {
    const bool expected = answer.id.number == m_call && m_phase != store_phase::waiting &&
                          m_phase != store_phase::idle;
    if (!expected) {
        return;
    }
    if (answer.result.status == store_status::unavailable) {
        wait_for_store(now);
    } else if (m_phase == store_phase::reading_snapshot) {
        on_snapshot(answer.result, now, out);
    } else {
        on_head(answer.result, now, out);
    }
    m_store_answered = m_store_answered || m_phase != store_phase::reading_snapshot;
    update_synchronized(now);
}

void table_sync::on_head(const store_result& result, instant now, action_list& out) {
    const bool watched = m_phase == store_phase::watching_head;
    if (watched && (result.status != store_status::ok || result.version <= m_head_version)) {
        on_unchanged_watch(now, out);
        return;
    }
    m_store_backoff = {};
    m_read_before_watch = false;
    m_head_version = result.status == store_status::ok ? result.version : 0;
    if (result.status != store_status::ok) {
        // There is no table yet. Relays watch for one; the others read again after a backoff.
        m_relay ? next_store_call(now, out) : wait_for_store(now);
        return;
    }
    auto head = parse_head(result.value);
    if (!head) {
        report_rejected("table_invalid", "the value of table/head is malformed", out);
        next_store_call(now, out);
        return;
    }
    const bool lower = head->revision < revision();
    if (head->revision == revision()) {
        report_divergence(*head, out);
        next_store_call(now, out);
    } else if (lower && m_context.enabled.revision_check) {
        report_rejected("revision_refused",
                        "the store's table revision " + std::to_string(head->revision) +
                            " is below revision " + std::to_string(revision()),
                        out);
        next_store_call(now, out);
    } else if (auto next = extend_current_table(*head)) {
        adopt(std::move(*next), now, out);
        next_store_call(now, out);
    } else if (head->snapshot.empty()) {
        use_snapshot(*head, {}, now, out);
        next_store_call(now, out);
    } else {
        std::string key = head->snapshot;
        m_pending_head = std::move(*head);
        call_store(store_phase::reading_snapshot, store_get{std::move(key)}, now, out);
    }
}

void table_sync::on_unchanged_watch(instant now, action_list& out) {
    m_read_before_watch = ++m_unchanged_watches % watches_per_head_read == 0;
    if (now - m_call_started < min_watch_duration) {
        wait_for_store(now);
    } else {
        next_store_call(now, out);
    }
}

void table_sync::on_snapshot(const store_result& result, instant now, action_list& out) {
    auto snapshot = parse_snapshot(result.value);
    const auto wanted = snapshot_revision(m_pending_head.snapshot);
    if (result.status != store_status::ok || !snapshot || snapshot->rows.revision != wanted) {
        report_rejected("table_invalid",
                        m_pending_head.snapshot + " is missing, malformed or of another revision",
                        out);
        wait_for_store(now);
        return;
    }
    use_snapshot(m_pending_head, std::move(*snapshot), now, out);
    next_store_call(now, out);
}

/// True if the current table is one of the states from the head's snapshot to its last delta.
bool table_sync::continues_current_table(const table_head& head) const {
    const revision_number base = snapshot_revision(head.snapshot).value_or(0);
    if (!m_context.config || revision() < base || revision() > head.revision) {
        return false;
    }
    if (revision() == base) {
        return true;
    }
    const auto& ids = m_history.edit_ids();
    return !ids.empty() && head.deltas[revision() - base - 1].edit_id == ids.back();
}

/// Reports a head with the current revision but different edits, which occurs if the store was
/// restored from a backup and edited again.
void table_sync::report_divergence(const table_head& head, action_list& out) {
    if (m_context.config && !continues_current_table(head)) {
        report_rejected("table_diverged",
                        "the store's table revision " + std::to_string(head.revision) +
                            " has different edits from the applied one",
                        out);
    }
}

/// Returns the current table with the head's later deltas, or nothing if they do not continue it.
std::optional<table_sync::candidate_table> table_sync::extend_current_table(
    const table_head& head) const {
    if (!continues_current_table(head)) {
        return std::nullopt;
    }
    candidate_table next;
    for (const table_delta& delta : head.deltas) {
        if (delta.revision > revision()) {
            next.deltas.push_back(delta);
        }
    }
    const bool follows = next.deltas.empty() || m_history.is_followed_by(next.deltas.front());
    auto rows = rows_at_head({head.revision, {}, next.deltas}, *m_context.config);
    if (!rows || !follows) {
        return std::nullopt;
    }
    next.rows = std::move(*rows);
    return next;
}

void table_sync::use_snapshot(const table_head& head, table_snapshot base, instant now,
                              action_list& out) {
    auto rows = rows_at_head(head, base.rows);
    if (!rows) {
        report_rejected("table_invalid", "the deltas in table/head do not apply to their snapshot",
                        out);
        return;
    }
    adopt({std::move(*rows), head.deltas, true, std::move(base.edit_ids)}, now, out);
}

}  // namespace jasminelead
