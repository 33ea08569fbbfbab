#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "jasminelead/context.h"
#include "jasminelead/messages.h"
#include "jasminelead/table.h"

/// Keeps a daemon's table at the highest revision that the store or a peer offers.
namespace jasminelead {

/// The most recent deltas of a daemon's table, which are sent to peers on request.
class table_history {
public:
    static constexpr std::size_t capacity = 256;

    void append(table_delta delta);
    /// Restarts the history after a snapshot with these last edit ids.
    void reset(std::vector<std::string> edit_ids);
    /// Returns the deltas from `since + 1` to `revision` as JSON, or nothing if some are no longer
    /// stored or they exceed the size of a reply.
    [[nodiscard]] std::optional<std::vector<std::string>> since(revision_number since,
                                                                revision_number revision) const;
    /// False if the delta is known to follow a different edit than the last one.
    [[nodiscard]] bool is_followed_by(const table_delta& delta) const;
    /// Ids of the most recent edits, oldest first.
    [[nodiscard]] const std::vector<std::string>& edit_ids() const { return m_edit_ids; }

private:
    std::deque<table_delta> m_deltas;
    std::vector<std::string> m_edit_ids;
};

/// Relay daemons watch the head in the store, and every daemon announces new revisions to random
/// peers. Replaces `core_context::config`, but never by a lower revision.
class table_sync {
public:
    explicit table_sync(core_context& context) : m_context{context} {}

    void start(instant now, action_list& out);
    void on_store(const store_answered& answer, instant now, action_list& out);
    void on_rumor(const host_id& from, const revision_rumor& rumor, instant now, action_list& out);
    void on_request(const host_id& from, const deltas_request& request, instant now,
                    action_list& out);
    void on_reply(const host_id& from, const deltas_reply& reply, instant now, action_list& out);
    /// Handles the revision that a ping or its answer carries.
    void on_ping_revision(const host_id& from, revision_number revision, instant now,
                          action_list& out);
    void on_fleet_changed(instant now, action_list& out);
    void tick(instant now, action_list& out);
    [[nodiscard]] std::optional<instant> next_wakeup() const;

    /// Revision of the current table; 0 if there is none.
    [[nodiscard]] revision_number revision() const;
    /// True once there is a table and the store and up to three peers have answered whether there
    /// is a higher revision, or 1 s after the start if they have not.
    [[nodiscard]] bool synchronized() const { return m_synchronized; }
    [[nodiscard]] bool is_relay() const { return m_relay; }
    /// Returns true once after each change of `core_context::config`.
    bool take_changed();

private:
    enum class store_phase { idle, reading_head, watching_head, reading_snapshot, waiting };
    /// A peer with a higher revision. `full` requests the whole table instead of deltas.
    struct source {
        host_id host;
        revision_number revision = 0;
        bool full = false;
    };
    /// A table built from a head, a snapshot or deltas, before its validation.
    struct candidate_table {
        table rows;
        std::vector<table_delta> deltas;
        bool restart_history = false;
        std::vector<std::string> edit_ids;  // Used if restart_history is set.
    };

    // Store access, in table_sync_store.cc
    void call_store(store_phase phase, store_request request, instant now, action_list& out);
    void next_store_call(instant now, action_list& out);
    void wait_for_store(instant now);
    void on_head(const store_result& result, instant now, action_list& out);
    void on_snapshot(const store_result& result, instant now, action_list& out);
    [[nodiscard]] std::optional<candidate_table> extend_current_table(const table_head& head) const;
    void use_snapshot(const table_head& head, table_snapshot base, instant now, action_list& out);
    [[nodiscard]] bool continues_current_table(const table_head& head) const;
    void report_divergence(const table_head& head, action_list& out);
    void on_unchanged_watch(instant now, action_list& out);

    void ask_peers(instant now, action_list& out);
    void note_peer_revision(const source& peer, instant now, action_list& out);
    void fetch_next(instant now, action_list& out);
    [[nodiscard]] std::optional<candidate_table> read_reply(const deltas_reply& reply) const;
    bool adopt(candidate_table next, instant now, action_list& out);
    void report_rejected(std::string_view label, const std::string& text, action_list& out);
    void announce_revision(action_list& out);
    std::vector<host_id> random_peers(std::size_t wanted);
    void update_synchronized(instant now);
    duration next_backoff(duration& longest);

    core_context& m_context;
    table_history m_history;
    bool m_changed = false;
    bool m_started = false;

    store_phase m_phase = store_phase::idle;
    std::uint64_t m_call = 0;
    instant m_call_started;
    instant m_store_deadline;  // End of the wait or timeout of the call.
    duration m_store_backoff;
    std::uint64_t m_head_version = 0;
    bool m_read_before_watch = true;  // Read the head before the next watch starts.
    int m_unchanged_watches = 0;
    bool m_relay = false;
    table_head m_pending_head;  // Head whose snapshot is being read.

    std::vector<source> m_sources;
    std::optional<source> m_fetching;
    instant m_fetch_deadline;

    bool m_synchronized = false;
    bool m_store_answered = false;
    instant m_start_deadline;
    std::vector<host_id> m_asked_peers;
    std::size_t m_peers_answered = 0;
    instant m_next_ask;
    duration m_ask_backoff;
};

}  // namespace jasminelead
