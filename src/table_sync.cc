#include "jasminelead/table_sync.h"

#include <algorithm>
#include <utility>

namespace jasminelead {
namespace {

using namespace literals;

/// Number of random peers. With three, gossip reaches about 94% of the daemons; pings inform the
/// others.
constexpr std::size_t fanout = 3;
constexpr std::size_t max_sources = 8;
constexpr duration fetch_timeout = 1_s;
constexpr duration start_timeout = 1_s;
constexpr duration min_backoff = 1_s;
constexpr duration max_backoff = 30_s;
/// Limit of the deltas in a reply; above it, a snapshot is shorter. A peer frame holds at most
/// 1 MiB.
constexpr std::size_t max_reply_bytes = 409'600;

}  // namespace

// ---- History ------------------------------------------------------------------------------------

void table_history::append(table_delta delta) {
    m_edit_ids.push_back(delta.edit_id);
    if (m_edit_ids.size() > max_head_deltas) {
        m_edit_ids.erase(m_edit_ids.begin());
    }
    m_deltas.push_back(std::move(delta));
    if (m_deltas.size() > capacity) {
        m_deltas.pop_front();
    }
}

void table_history::reset(std::vector<std::string> edit_ids) {
    m_deltas.clear();
    m_edit_ids = std::move(edit_ids);
}

std::optional<std::vector<std::string>> table_history::since(revision_number since,
                                                             revision_number revision) const {
    const bool kept = !m_deltas.empty() && m_deltas.front().revision <= since + 1 &&
                      m_deltas.back().revision == revision;
    if (!kept) {
        return std::nullopt;
    }
    std::vector<std::string> texts;
    std::size_t bytes = 0;
    for (const table_delta& delta : m_deltas) {
        if (delta.revision > since) {
            texts.push_back(write_json(delta));
            bytes += texts.back().size();
        }
    }
    return bytes <= max_reply_bytes ? std::optional{std::move(texts)} : std::nullopt;
}

bool table_history::is_followed_by(const table_delta& delta) const {
    return m_edit_ids.empty() || delta.previous_id.empty() ||
           m_edit_ids.back() == delta.previous_id;
}

// ---- Start and time -----------------------------------------------------------------------------

void table_sync::start(instant now, action_list& out) {
    m_started = true;
    m_start_deadline = now + start_timeout;
    on_fleet_changed(now, out);
    if (m_phase == store_phase::idle) {
        next_store_call(now, out);
    }
}

void table_sync::on_fleet_changed(instant now, action_list& out) {
    const auto relays = relays_of(*m_context.fleet, m_context.data_centre);
    m_relay = std::find(relays.begin(), relays.end(), m_context.self) != relays.end();
    if (!m_started) {
        return;
    }
    if (!m_synchronized && m_asked_peers.size() < fanout) {
        ask_peers(now, out);
    }
    if (m_phase == store_phase::idle && m_relay) {
        next_store_call(now, out);
    }
}

void table_sync::tick(instant now, action_list& out) {
    if (m_phase == store_phase::waiting && now >= m_store_deadline) {
        m_phase = store_phase::idle;
        next_store_call(now, out);
    } else if (m_phase != store_phase::idle && now >= m_store_deadline) {
        wait_for_store(now);
    }
    if (m_fetching && now >= m_fetch_deadline) {
        m_fetching.reset();
        fetch_next(now, out);
    }
    if (!m_context.config && now >= m_next_ask) {
        m_asked_peers.clear();
        m_peers_answered = 0;
        ask_peers(now, out);
    }
    update_synchronized(now);
}

std::optional<instant> table_sync::next_wakeup() const {
    instant next = instant::max();
    if (m_phase != store_phase::idle) {
        next = std::min(next, m_store_deadline);
    }
    if (m_fetching) {
        next = std::min(next, m_fetch_deadline);
    }
    if (!m_context.config) {
        next = std::min(next, m_next_ask);
    } else if (!m_synchronized) {
        next = std::min(next, m_start_deadline);
    }
    return next == instant::max() ? std::nullopt : std::optional{next};
}

void table_sync::update_synchronized(instant now) {
    const bool answered = m_store_answered && m_peers_answered >= m_asked_peers.size();
    if (m_context.config && (answered || now >= m_start_deadline)) {
        m_synchronized = true;
    }
}

/// Doubles the maximum wait up to its limit and returns a random wait of at most that length.
duration table_sync::next_backoff(duration& longest) {
    longest = std::min(std::max(longest * 2, min_backoff * 2), max_backoff);
    std::uniform_int_distribution<std::int64_t> wait_us{min_backoff.us(), longest.us()};
    return duration::from_us(wait_us(m_context.random));
}

// ---- Peers --------------------------------------------------------------------------------------

std::vector<host_id> table_sync::random_peers(std::size_t wanted) {
    std::vector<host_id> peers;
    for (const host_entry& host : m_context.fleet->hosts()) {
        if (host.id != m_context.self) {
            peers.push_back(host.id);
        }
    }
    wanted = std::min(wanted, peers.size());
    for (std::size_t i = 0; i < wanted; ++i) {
        std::uniform_int_distribution<std::size_t> pick{i, peers.size() - 1};
        std::swap(peers[i], peers[pick(m_context.random)]);
    }
    peers.resize(wanted);
    return peers;
}

void table_sync::ask_peers(instant now, action_list& out) {
    for (const host_id& peer : random_peers(fanout)) {
        const bool asked =
            std::find(m_asked_peers.begin(), m_asked_peers.end(), peer) != m_asked_peers.end();
        if (!asked && m_asked_peers.size() < fanout) {
            m_asked_peers.push_back(peer);
            out.emplace_back(send_peer{peer, deltas_request{revision()}});
        }
    }
    m_next_ask = now + next_backoff(m_ask_backoff);
}

void table_sync::announce_revision(action_list& out) {
    for (const host_id& peer : random_peers(fanout)) {
        out.emplace_back(send_peer{peer, revision_rumor{revision()}});
    }
}

void table_sync::on_rumor(const host_id& from, const revision_rumor& rumor, instant now,
                          action_list& out) {
    note_peer_revision({from, rumor.revision, false}, now, out);
}

void table_sync::on_ping_revision(const host_id& from, revision_number revision, instant now,
                                  action_list& out) {
    note_peer_revision({from, revision, false}, now, out);
}

void table_sync::note_peer_revision(const source& peer, instant now, action_list& out) {
    if (peer.revision <= revision()) {
        return;
    }
    const auto known = std::find_if(m_sources.begin(), m_sources.end(),
                                    [&](const source& item) { return item.host == peer.host; });
    if (known != m_sources.end()) {
        *known = peer;
    } else if (m_sources.size() < max_sources) {
        m_sources.push_back(peer);
    }
    fetch_next(now, out);
}

void table_sync::fetch_next(instant now, action_list& out) {
    std::erase_if(m_sources, [this](const source& item) { return item.revision <= revision(); });
    if (m_fetching || m_sources.empty()) {
        return;
    }
    const auto best =
        std::max_element(m_sources.begin(), m_sources.end(),
                         [](const source& a, const source& b) { return a.revision < b.revision; });
    m_fetching = *best;
    m_fetch_deadline = now + fetch_timeout;
    out.emplace_back(send_peer{best->host, deltas_request{best->full ? 0 : revision()}});
    m_sources.erase(best);
}

void table_sync::on_request(const host_id& from, const deltas_request& request, instant /*now*/,
                            action_list& out) {
    deltas_reply reply{revision(), std::nullopt, {}};
    if (request.since < revision()) {
        auto deltas = m_history.since(request.since, revision());
        if (deltas) {
            reply.deltas = std::move(*deltas);
        } else {
            reply.snapshot = write_json(table_snapshot{*m_context.config, m_history.edit_ids()});
        }
    }
    out.emplace_back(send_peer{from, std::move(reply)});
}

void table_sync::on_reply(const host_id& from, const deltas_reply& reply, instant now,
                          action_list& out) {
    const auto asked = std::find(m_asked_peers.begin(), m_asked_peers.end(), from);
    if (asked != m_asked_peers.end() && m_peers_answered < m_asked_peers.size()) {
        ++m_peers_answered;
    }
    const bool full = m_fetching && m_fetching->host == from && m_fetching->full;
    if (m_fetching && m_fetching->host == from) {
        m_fetching.reset();
    }
    if (reply.snapshot || reply.revision > revision()) {
        auto next = read_reply(reply);
        if (next) {
            adopt(std::move(*next), now, out);
        } else if (full) {
            report_rejected("table_invalid",
                            "the table sent by " + from.str() + " is malformed or inconsistent",
                            out);
        } else {
            // The deltas do not apply to the current table, so fetch the whole table.
            note_peer_revision({from, reply.revision, true}, now, out);
        }
    }
    fetch_next(now, out);
    update_synchronized(now);
}

std::optional<table_sync::candidate_table> table_sync::read_reply(const deltas_reply& reply) const {
    candidate_table next;
    if (reply.snapshot) {
        auto snapshot = parse_snapshot(*reply.snapshot);
        if (!snapshot) {
            return std::nullopt;
        }
        return candidate_table{std::move(snapshot->rows), {}, true, std::move(snapshot->edit_ids)};
    }
    for (const std::string& text : reply.deltas) {
        auto delta = parse_delta(text);
        if (!delta) {
            return std::nullopt;
        }
        next.deltas.push_back(std::move(*delta));
    }
    // Deltas that begin at revision 1 make up a whole table without a snapshot.
    next.restart_history = !next.deltas.empty() && next.deltas.front().revision == 1;
    if (m_context.config && !next.restart_history) {
        next.rows = *m_context.config;
        if (!next.deltas.empty() && !m_history.is_followed_by(next.deltas.front())) {
            return std::nullopt;
        }
    }
    for (const table_delta& delta : next.deltas) {
        apply_result applied = apply(next.rows, delta);
        if (delta.revision != next.rows.revision + 1 || !applied.result) {
            return std::nullopt;
        }
        next.rows = std::move(*applied.result);
    }
    return next.deltas.empty() ? std::nullopt : std::optional{std::move(next)};
}

// ---- New tables ---------------------------------------------------------------------------------

bool table_sync::adopt(candidate_table next, instant now, action_list& out) {
    const bool lower = next.rows.revision < revision();
    if (lower && m_context.enabled.revision_check) {
        report_rejected("revision_refused",
                        "table revision " + std::to_string(next.rows.revision) +
                            " is below revision " + std::to_string(revision()),
                        out);
        return false;
    }
    if (next.rows.revision == revision() && m_context.config) {
        return false;
    }
    if (const auto errors = validate(next.rows); !errors.empty()) {
        report_rejected("table_invalid",
                        "table revision " + std::to_string(next.rows.revision) + ": " +
                            errors.front().cell + " " + errors.front().text,
                        out);
        return false;
    }
    m_context.checks->check(promise::config_monotonic, !lower);
    if (next.restart_history) {
        m_history.reset(std::move(next.edit_ids));
    }
    for (table_delta& delta : next.deltas) {
        m_history.append(std::move(delta));
    }
    m_context.config = std::make_shared<const table>(std::move(next.rows));
    m_changed = true;
    out.emplace_back(log_state{"applied table revision " + std::to_string(revision())});
    announce_revision(out);
    update_synchronized(now);
    return true;
}

void table_sync::report_rejected(std::string_view label, const std::string& text,
                                 action_list& out) {
    out.emplace_back(count{"refusal", label});
    out.emplace_back(log_state{"rejected table update: " + text});
}

revision_number table_sync::revision() const {
    return m_context.config ? m_context.config->revision : 0;
}

bool table_sync::take_changed() {
    return std::exchange(m_changed, false);
}

}  // namespace jasminelead
