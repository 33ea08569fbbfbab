#include "jasminelead/failover.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "jasminelead/registry.h"

namespace jasminelead {
namespace {

using namespace failover_timing;
using detail::group_activity;

/// Promotes as soon as the primary is found failed. This is safe because a majority is fenced
/// first.
class fencing_policy final : public failover_policy {
public:
    [[nodiscard]] instant earliest_promotion(instant last_alive) const override {
        return last_alive;
    }
};

/// Waits for a lease to expire, as a design without fencing would have to.
class lease_policy final : public failover_policy {
public:
    [[nodiscard]] instant earliest_promotion(instant last_alive) const override {
        return last_alive + promotion_lease;
    }
};

template <class Policy>
std::unique_ptr<failover_policy> make_policy() {
    return std::make_unique<Policy>();
}

const policy_registry<failover_policy>::entry default_entry{"default",
                                                            &make_policy<fencing_policy>};
const policy_registry<failover_policy>::entry lease_entry{"lease_only", &make_policy<lease_policy>};

term_number last_term(const term_history& terms) {
    return terms.size() == 0 ? 0 : (terms.end() - 1)->term;
}

void keep_earliest(std::optional<instant>& due, instant at) {
    due = due ? std::min(*due, at) : at;
}

}  // namespace

term_number complete_term(const endpoint_state& state) {
    // An instance whose log reaches the start of a term holds every write acknowledged in earlier
    // terms, even when it has no record of the new term yet. The log term alone would rank it below
    // an instance that holds an unconfirmed record of a superseded primary.
    term_number term = state.stamp.log_term;
    for (const term_start& start : state.terms) {
        if (state.stamp.position >= start.position) {
            term = std::max(term, start.term);
        }
    }
    return term;
}

failover::failover(core_context& context, std::string_view policy)
    : m_context{context}, m_policy{policy_registry<failover_policy>::make(policy)} {
    if (m_policy == nullptr) {
        throw std::invalid_argument{"unknown failover policy: " + std::string{policy}};
    }
}

// ---- Lookup ------------------------------------------------------------------------------------

const failover::group* failover::find(const group_id& id) const {
    const auto found = m_groups.find(id);
    return found == m_groups.end() ? nullptr : &found->second;
}

failover::group* failover::find(const group_id& id) {
    const auto found = m_groups.find(id);
    return found == m_groups.end() ? nullptr : &found->second;
}

std::optional<failover::endpoint_location> failover::find(const endpoint_id& id) const {
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? std::nullopt : std::optional{found->second};
}

const group_view& failover::view(const group_id& id) const {
    static const group_view unknown;
    const group* g = find(id);
    return g == nullptr ? unknown : g->view;
}

const term_history& failover::terms(const group_id& id) const {
    static const term_history unknown;
    const group* g = find(id);
    return g == nullptr ? unknown : g->terms;
}

term_number failover::highest_term(const group_id& id) const {
    const group* g = find(id);
    return g == nullptr ? 0 : g->highest_term;
}

bool failover::writes_held(const group_id& id) const {
    const group* g = find(id);
    return g != nullptr && g->active && (g->activity != group_activity::idle || g->probing);
}

std::optional<position_stamp> failover::last_stamp(const endpoint_id& id) const {
    const auto at = find(id);
    return at ? at->parent->instances[at->index].stamp : std::nullopt;
}

std::vector<group_id> failover::take_changed() {
    std::vector<group_id> changed;
    for (auto& [id, g] : m_groups) {
        if (std::exchange(g.changed, false)) {
            changed.push_back(id);
        }
    }
    return changed;
}

// ---- Fleet -------------------------------------------------------------------------------------

void failover::on_fleet_changed(instant now, action_list& out) {
    std::map<group_id, group> groups;
    for (const endpoint_entry& endpoint : m_context.fleet->endpoints()) {
        if (groups.contains(endpoint.group)) {
            continue;
        }
        auto known = m_groups.extract(endpoint.group);
        if (known) {
            groups.insert(std::move(known));
        } else {
            group& g = groups[endpoint.group];
            g.id = endpoint.group;
            g.primary_alive = now;
        }
    }
    m_groups = std::move(groups);
    m_endpoints.clear();
    for (auto& [id, g] : m_groups) {
        reconcile(g, now);
        for (std::size_t i = 0; i < g.instances.size(); ++i) {
            m_endpoints.emplace(g.instances[i].id, endpoint_location{&g, i});
        }
        step(g, now, out);
    }
}

void failover::reconcile(group& g, instant now) {
    std::vector<instance> instances;
    bool same = true;
    g.active = false;
    for (const endpoint_entry& endpoint : m_context.fleet->endpoints_of(g.id)) {
        instance at;
        const auto known = std::find_if(g.instances.begin(), g.instances.end(),
                                        [&](const instance& i) { return i.id == endpoint.id; });
        if (known != g.instances.end()) {
            at = *known;
        }
        same = same && known - g.instances.begin() == static_cast<std::ptrdiff_t>(instances.size());
        at.id = endpoint.id;
        const host_id* owner = m_context.fleet->owner_of(endpoint.id);
        at.owner = owner == nullptr ? host_id{} : *owner;
        const bool owned = at.owner == m_context.self;
        if (owned && !at.owned) {
            at.following = 0;
            at.next_repair = now;
        }
        at.owned = owned;
        g.active = g.active || owned;
        instances.push_back(std::move(at));
    }
    same = same && instances.size() == g.instances.size();
    g.instances = std::move(instances);
    if (!same || !g.active) {
        // Outstanding calls refer to instances by index, and majorities are counted over the
        // current instances, so work in progress is discarded.
        g.calls.clear();
        g.activity = group_activity::idle;
        g.probing = false;
        ++g.round;
    }
    find_primary_owner(g, now);
    g.replica_stagger = stagger(g, false);
    g.owner_stagger = stagger(g, true);
}

void failover::find_primary_owner(group& g, instant now) {
    const host_id* owner = m_context.fleet->owner_of(g.view.primary);
    const host_id found = owner == nullptr ? host_id{} : *owner;
    if (found == g.primary_owner) {
        return;
    }
    g.primary_owner = found;
    g.replica_stagger = stagger(g, false);
    g.owner_stagger = stagger(g, true);
    g.owner_heard = now;
    g.owner_failed = false;
    g.next_query = now;
    g.next_heartbeat = now;
    g.next_direct_check = now;
    g.next_leaving_switch = now;
    g.probing = false;
}

bool failover::owns_primary(const group& g) const {
    return !g.view.primary.empty() && g.primary_owner == m_context.self;
}

// ---- State updates -----------------------------------------------------------------------------

void failover::adopt(group& g, const group_view& view, instant now, action_list& out) {
    g.view = view;
    g.highest_term = std::max(g.highest_term, view.term);
    g.changed = true;
    g.primary_alive = now;
    g.primary_heard = now;
    g.leaderless_since.reset();
    g.survey_pause = survey_interval;
    g.owner_heard = now;
    g.next_leaving_switch = now;
    g.probing = false;
    g.owner_failed = false;
    find_primary_owner(g, now);
    for (instance& at : g.instances) {
        at.next_repair = now;
        at.repair_pause = follow_retry_min;
    }
    const bool promoting =
        g.activity == group_activity::fencing || g.activity == group_activity::promoting;
    if (!promoting || g.attempt.term <= view.term) {
        g.activity = group_activity::idle;
        g.attempt_unresolved = false;
        ++g.round;
    }
    out.emplace_back(log_state{"group " + g.id.str() + ": primary " + view.primary.str() +
                               " at term " + std::to_string(view.term)});
}

/// Schedules a new follow call to an instance that no longer follows the primary.
void failover::schedule_repair(instance& at, instant now) {
    if (at.following != 0) {
        at.following = 0;
        at.repair_pause = follow_retry_min;
        at.next_repair = now;
    }
}

void failover::merge_terms(group& g, const term_history& terms) {
    const term_number known = last_term(g.terms);
    const term_number other = last_term(terms);
    if (other > known || (other == known && terms.size() > g.terms.size())) {
        g.terms = terms;
    }
}

void failover::apply_stamp(group& g, instance& from, const position_stamp& stamp, instant read,
                           instant now, action_list& out) {
    if (!from.stamp || read >= from.stamp_read_at) {
        from.stamp = stamp;
        from.stamp_read_at = read;
    }
    g.highest_term = std::max(g.highest_term, stamp.term);
    if (stamp.role != endpoint_role::primary) {
        return;
    }
    if (from.id == g.view.primary && stamp.term == g.view.term) {
        g.primary_alive = std::max(g.primary_alive, read);
        return;
    }
    // The first view needs a majority of answers: a superseded primary may answer first.
    if (stamp.term > g.view.term && g.view.term != 0) {
        adopt(g, {stamp.term, from.id}, now, out);
    }
}

void failover::apply_state(group& g, instance& from, const endpoint_state& state, instant now,
                           action_list& out) {
    merge_terms(g, state.terms);
    apply_stamp(g, from, state.stamp, now, now, out);
    if (from.id == g.view.primary) {
        if (state.stamp.term == g.view.term && state.stamp.role == endpoint_role::primary) {
            g.primary_heard = now;
        }
        return;
    }
    if (state.stamp.term == g.view.term && state.primary_silence) {
        g.primary_alive = std::max(g.primary_alive, now - *state.primary_silence);
    }
    // A superseded primary, or an instance that missed the follow call after its fence.
    const bool lost = state.stamp.term < g.view.term ||
                      (state.stamp.term == g.view.term && last_term(state.terms) < g.view.term);
    if (state.stamp.term < g.view.term) {
        schedule_repair(from, now);
    }
    if (lost && !from.owned && now >= from.next_repair && g.active) {
        from.next_repair = now + follow_retry_min;
        send_follow(g, static_cast<std::size_t>(&from - g.instances.data()), now, out);
    }
}

void failover::on_stamp(const endpoint_id& endpoint, const position_stamp& stamp, instant now,
                        action_list& out) {
    const auto at = find(endpoint);
    if (!at) {
        return;
    }
    group& g = *at->parent;
    instance& from = g.instances[at->index];
    const term_number highest = g.highest_term;
    apply_stamp(g, from, stamp, now, now, out);
    if (endpoint == g.view.primary) {
        g.primary_heard = std::max(g.primary_heard, g.primary_alive);
    } else if (stamp.term < g.view.term) {
        schedule_repair(from, now);
        step(g, now, out);
    }
    if (g.highest_term != highest) {
        step(g, now, out);
    }
}

void failover::on_state(const endpoint_id& endpoint, const endpoint_state& state, instant now,
                        action_list& out) {
    if (const auto at = find(endpoint)) {
        apply_state(*at->parent, at->parent->instances[at->index], state, now, out);
        step(*at->parent, now, out);
    }
}

void failover::on_view(const group_id& id, const group_view& view, instant now, action_list& out) {
    group* g = find(id);
    if (g == nullptr) {
        return;
    }
    g->highest_term = std::max(g->highest_term, view.term);
    if (view.term > g->view.term && !view.primary.empty()) {
        adopt(*g, view, now, out);
    }
    step(*g, now, out);
}

// ---- Peers -------------------------------------------------------------------------------------

group_report failover::report_of(const group& g, instant now) const {
    group_report report{g.id, g.view, {}, g.terms};
    for (const instance& at : g.instances) {
        if (at.owned && at.stamp) {
            report.owned.push_back({at.id, *at.stamp, now - at.stamp_read_at});
        }
    }
    return report;
}

void failover::announce(const group& g, instant now, action_list& out) const {
    std::vector<host_id> notified{m_context.self, host_id{}};
    for (const instance& at : g.instances) {
        if (std::find(notified.begin(), notified.end(), at.owner) == notified.end()) {
            notified.push_back(at.owner);
            out.emplace_back(send_peer{at.owner, report_of(g, now)});
        }
    }
}

void failover::on_query(const host_id& from, const group_query& query, instant now,
                        action_list& out) {
    if (const group* g = find(query.group)) {
        out.emplace_back(send_peer{from, report_of(*g, now)});
    }
}

void failover::on_report(const host_id& from, const group_report& report, instant now,
                         action_list& out) {
    group* g = find(report.group);
    if (g == nullptr) {
        return;
    }
    merge_terms(*g, report.terms);
    for (const group_report::owned_state& state : report.owned) {
        const auto at = find(state.endpoint);
        if (at && at->parent == g) {
            const instant read = now - std::max(state.age, duration{});
            apply_stamp(*g, g->instances[at->index], state.stamp, read, now, out);
        }
    }
    if (from == g->primary_owner) {
        g->owner_heard = now;
        g->owner_failed = false;
    }
    if (g->active && report.view.term < g->view.term) {
        out.emplace_back(send_peer{from, report_of(*g, now)});
    }
    on_view(report.group, report.view, now, out);
}

void failover::on_peer_failed(const peer_failed& failure, instant now, action_list& out) {
    for (auto& [id, g] : m_groups) {
        if (g.active && g.primary_owner == failure.peer && !g.owner_failed) {
            g.owner_failed = true;
            g.next_direct_check = now;
            step(g, now, out);
        }
    }
}

void failover::refresh(const group_id& id, instant now, action_list& out) {
    group* g = find(id);
    if (g == nullptr || now < g->next_refresh) {
        return;
    }
    g->next_refresh = now + refresh_interval;
    std::vector<host_id> asked{m_context.self, host_id{}};
    for (const instance& at : g->instances) {
        if (std::find(asked.begin(), asked.end(), at.owner) == asked.end()) {
            asked.push_back(at.owner);
            out.emplace_back(send_peer{at.owner, group_query{id}});
        }
    }
}

// ---- Timers ------------------------------------------------------------------------------------

void failover::step(group& g, instant now, action_list& out) {
    if (!g.active) {
        return;
    }
    if (g.activity == group_activity::waiting && now >= g.resume_at) {
        resume(g, now, out);
    }
    if (g.activity == group_activity::fencing && now >= g.attempt.retry_at) {
        send_fences(g, now, out);
    }
    if (g.activity != group_activity::idle) {
        return;
    }
    if (g.view.term == 0 || g.highest_term > g.view.term) {
        start_survey(g, detail::survey_purpose::discover, now, out);
        return;
    }
    monitor(g, now, out);
    if (g.activity == group_activity::idle) {
        repair(g, now, out);
    }
}

void failover::tick(instant now, action_list& out) {
    for (auto& [id, g] : m_groups) {
        if (g.active) {
            expire_calls(g, now, out);
            step(g, now, out);
        }
    }
}

std::optional<instant> failover::due(const group& g) const {
    std::optional<instant> at;
    for (const detail::control_attempt& call : g.calls) {
        keep_earliest(at, call.expiry + duration::from_us(1));
    }
    if (g.activity == group_activity::waiting) {
        keep_earliest(at, g.resume_at);
    }
    if (g.activity == group_activity::fencing) {
        keep_earliest(at, g.attempt.retry_at);
    }
    if (g.activity != group_activity::idle) {
        return at;
    }
    for (const instance& i : g.instances) {
        if (i.owned && i.id != g.view.primary) {
            keep_earliest(at, i.next_repair);
        }
    }
    if (!owns_primary(g)) {
        keep_earliest(at, g.next_query);
        keep_earliest(at, candidate_due(g));
        keep_earliest(at, g.owner_failed
                              ? g.next_direct_check
                              : std::max(g.next_direct_check,
                                         g.owner_heard + query_interval + direct_check_delay));
        return at;
    }
    keep_earliest(at, g.probing ? g.next_probe
                                : std::max(g.next_heartbeat, g.primary_heard + heartbeat_interval));
    const endpoint_entry* primary = m_context.fleet->endpoint(g.view.primary);
    if (primary != nullptr && primary->state == member_state::leaving) {
        keep_earliest(at, g.next_leaving_switch);
    }
    return at;
}

std::optional<instant> failover::next_wakeup() const {
    std::optional<instant> next;
    for (const auto& [id, g] : m_groups) {
        const auto at = g.active ? due(g) : std::nullopt;
        if (at) {
            keep_earliest(next, *at);
        }
    }
    return next;
}

}  // namespace jasminelead
