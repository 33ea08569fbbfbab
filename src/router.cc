#include "jasminelead/router.h"

#include <array>
#include <cmath>
#include <stdexcept>
#include <string>

namespace jasminelead {
namespace {

using namespace literals;
using detail::endpoint_record;
using detail::routing_policy;

constexpr std::array<routing_policy, 2> policies = {{{"default", true}, {"primary_only", false}}};

constexpr duration max_catch_up_wait = 20_ms;
constexpr std::int64_t max_wait_divisor = 4;  // Waits at most a quarter of the remaining time.
// An older state is outdated; one read is sent to refresh it.
constexpr duration max_state_age = 500_ms;
constexpr duration health_recovery_interval = 100_ms;
constexpr double deficit_kept_per_interval = 0.9;  // Recovers 10% of the deficit.
constexpr double error_health_factor = 0.5;
constexpr duration full_recovery_time = 10_s;
constexpr double lag_readmission_fraction = 0.5;
constexpr double moving_average_weight = 0.2;
constexpr duration assumed_latency = 1_ms;
// An answer is slow if it exceeds both four times the average latency and 20 ms, which is several
// round trips.
constexpr std::int64_t slow_answer_factor = 4;
constexpr duration min_slow_latency = 20_ms;
constexpr double other_data_centre_penalty = 1.25;
// A freshness mark is renewed before it expires, so that replicas keep serving reads meanwhile.
constexpr double mark_refresh_fraction = 0.75;
constexpr duration min_refresh_interval = 10_ms;
constexpr std::size_t max_candidates = 16;

const routing_policy* find_policy(std::string_view name) {
    for (const routing_policy& policy : policies) {
        if (policy.name == name) {
            return &policy;
        }
    }
    return nullptr;
}

double current_health(const endpoint_record& record, instant now) {
    if (record.health >= 1) {
        return 1;
    }
    const duration elapsed = now - record.health_at;
    if (elapsed > full_recovery_time) {
        return 1;
    }
    const double steps = std::max(elapsed.ms(), 0.0) / health_recovery_interval.ms();
    return 1 - (1 - record.health) * std::pow(deficit_kept_per_interval, steps);
}

void halve_health(endpoint_record& record, instant now) {
    record.health = current_health(record, now) * error_health_factor;
    record.health_at = now;
}

bool is_likely_fresh(const endpoint_record& record, const read_requirements& read,
                     const group_marks& marks, instant now) {
    const auto age = marks.expected_age(record.lag, now);
    return age && *age <= read.max_age;
}

bool is_likely_applied(const endpoint_record& record, const read_requirements& read,
                       std::optional<instant> written, instant now) {
    if (read.session == nullptr) {
        return true;
    }
    // Any endpoint may be asked about a lost position: its answer reveals the loss.
    if (record.stamp &&
        satisfies(*record.stamp, *read.session, read.terms) != satisfaction::behind) {
        return true;
    }
    return read.expect && written && *written + record.lag <= now;
}

/// Upper bound of the time at which the primary reached the session's position.
std::optional<instant> latest_write_time(const read_requirements& read, const group_marks& marks,
                                         const group_marks& observed) {
    if (read.session == nullptr) {
        return std::nullopt;
    }
    const auto marked_at = marks.reached_at(read.session->term, read.session->position);
    const auto observed_at = observed.reached_at(read.session->term, read.session->position);
    return marked_at && observed_at ? std::min(*marked_at, *observed_at)
                                    : (marked_at ? marked_at : observed_at);
}

void record_observed(group_marks& observed, term_number term, log_position position, instant now) {
    const freshness_mark* newest = observed.newest();
    const bool is_new = newest == nullptr || term > newest->log_term ||
                        (term == newest->log_term && position > newest->position);
    if (is_new) {
        observed.record({term, term, position, endpoint_role::primary}, now);
    }
}

bool is_avoided(const read_requirements& read, const endpoint_id& endpoint) {
    return read.avoid != nullptr && *read.avoid == endpoint;
}

/// Age from which the newest mark is renewed.
duration refresh_age(const read_requirements& read) {
    return read.max_age * mark_refresh_fraction;
}

struct candidate {
    std::size_t index = 0;
    double weight = 0;
};

std::size_t pick_weighted(std::span<const candidate> candidates, double total,
                          std::mt19937_64& random) {
    constexpr double unit = 1.0 / static_cast<double>(std::mt19937_64::max());
    double left = static_cast<double>(random()) * unit * total;
    for (std::size_t i = 0; i + 1 < candidates.size(); ++i) {
        left -= candidates[i].weight;
        if (left < 0) {
            return i;
        }
    }
    return candidates.size() - 1;
}

double load_score(const endpoint_record& record, double weight, bool local) {
    const duration latency = record.latency > duration{} ? record.latency : assumed_latency;
    const double score = (record.in_flight + 1.0) * latency.ms() / weight;
    return local ? score : score * other_data_centre_penalty;
}

}  // namespace

std::string_view to_string(route_cause cause) {
    constexpr std::array<std::string_view, 5> names = {"replica", "old_state", "mark_refresh",
                                                       "primary_required", "no_replica"};
    return names.at(static_cast<std::size_t>(cause));
}

router::router(const core_context& context, freshness& marks, std::string_view policy)
    : m_context{context}, m_marks{marks}, m_policy{find_policy(policy)} {
    if (m_policy == nullptr) {
        throw std::invalid_argument("unknown routing policy " + std::string{policy});
    }
}

bool router::has_policy(std::string_view name) {
    return find_policy(name) != nullptr;
}

router::group_plan& router::plan(const group_id& group) {
    if (m_fleet != m_context.fleet || m_config != m_context.config) {
        if (m_fleet != m_context.fleet) {
            m_fleet = m_context.fleet;
            forget_absent();
        }
        m_config = m_context.config;
        ++m_generation;
    }
    group_plan& found = m_plans[group];
    if (found.generation != m_generation) {
        rebuild(found, group);
    }
    return found;
}

void router::forget_absent() {
    std::erase_if(m_records, [this](const auto& record) {
        return m_fleet->endpoint(record.first) == nullptr;
    });
    std::erase_if(m_plans,
                  [this](const auto& each) { return m_fleet->endpoints_of(each.first).empty(); });
}

void router::rebuild(group_plan& plan, const group_id& group) {
    plan.generation = m_generation;
    plan.members.clear();
    plan.marks = &m_marks.marks(group);
    plan.max_age = group_row{}.max_age;
    if (m_config != nullptr) {
        const auto row = m_config->groups.find(group);
        plan.max_age = row == m_config->groups.end() ? plan.max_age : row->second.max_age;
    }
    for (const endpoint_entry& entry : m_fleet->endpoints_of(group)) {
        endpoint_row settings;
        if (m_config != nullptr) {
            const auto row = m_config->endpoints.find(entry.id);
            settings = row == m_config->endpoints.end() ? settings : row->second;
        }
        plan.members.push_back({&entry, &m_records[entry.id],
                                static_cast<double>(settings.read_weight),
                                entry.data_centre == m_context.data_centre});
    }
}

route router::choose(const read_requirements& read, instant now, std::mt19937_64& random) {
    group_plan& group = plan(read.group);
    if (read.max_age <= duration{} || !m_policy->use_replicas) {
        return choose_primary(read, group, route_cause::primary_required, now);
    }
    if (read.session != nullptr) {
        record_observed(group.observed, read.session->term, read.session->position, now);
    }
    if (needs_mark_refresh(read, group, now)) {
        group.refreshed = now;
        return choose_primary(read, group, route_cause::mark_refresh, now);
    }
    if (const member* replica = choose_replica(read, group, now, random); replica != nullptr) {
        return route_choice{replica->entry, route_cause::replica, false};
    }
    if (const member* replica = choose_replica_to_probe(read, group, now); replica != nullptr) {
        replica->record->probe_sent_at = now;
        return route_choice{replica->entry, route_cause::old_state, false};
    }
    if (read.may_wait && read.expect) {
        const auto wait = catch_up_time(read, now);
        if (wait && *wait <= std::min(max_catch_up_wait, read.remaining / max_wait_divisor)) {
            return route_wait{now + *wait};
        }
    }
    return choose_primary(read, group, route_cause::no_replica, now);
}

route router::choose_primary(const read_requirements& read, const group_plan& plan,
                             route_cause cause, instant now) const {
    // A write of the session in a later term proves that this primary is superseded.
    const bool is_superseded = read.session != nullptr && read.session->term > read.view.term;
    for (const member& each : plan.members) {
        if (each.entry->id != read.view.primary || is_superseded) {
            continue;
        }
        // The answer of a superseded primary has no bound on its age. Without a recent mark the
        // term is therefore confirmed by a majority, which also creates a new mark.
        const auto age = plan.marks->expected_age({}, now);
        const bool proven = read.max_age > duration{} && age && *age <= refresh_age(read);
        return route_choice{each.entry, cause, !proven};
    }
    return cause == route_cause::primary_required ? reason::no_primary
                                                  : reason::no_endpoint_fresh_enough;
}

bool router::needs_mark_refresh(const read_requirements& read, group_plan& plan,
                                instant now) const {
    const auto age = plan.marks->expected_age({}, now);
    if (age && *age <= refresh_age(read)) {
        return false;
    }
    // One read at a time renews the mark for all others, so that a primary that does not answer
    // delays only that read.
    const bool sent_recently =
        plan.refreshed && now - *plan.refreshed < std::max(read.max_age / 4, min_refresh_interval);
    const bool is_superseded = read.session != nullptr && read.session->term > read.view.term;
    if (sent_recently || is_superseded || is_avoided(read, read.view.primary)) {
        return false;
    }
    for (const member& each : plan.members) {
        if (each.entry->id == read.view.primary) {
            return current_health(*each.record, now) > error_health_factor;
        }
    }
    return false;
}

const router::member* router::choose_replica(const read_requirements& read, group_plan& plan,
                                             instant now, std::mt19937_64& random) const {
    const auto written = latest_write_time(read, *plan.marks, plan.observed);
    std::array<candidate, max_candidates> candidates;
    std::size_t size = 0;
    double total = 0;
    for (std::size_t i = 0; i < plan.members.size() && size < max_candidates; ++i) {
        const member& each = plan.members[i];
        const bool usable = each.weight > 0 && each.entry->state == member_state::live &&
                            each.entry->id != read.view.primary && !each.record->lagging &&
                            !is_avoided(read, each.entry->id);
        if (usable && is_likely_fresh(*each.record, read, *plan.marks, now) &&
            is_likely_applied(*each.record, read, written, now)) {
            const double weight = each.weight * current_health(*each.record, now);
            candidates.at(size++) = {i, weight};
            total += weight;
        }
    }
    if (size == 0) {
        return nullptr;
    }
    // Two random choices with replacement: the endpoint with the worse score still gets some reads,
    // so that its score stays up to date and weights apply to idle endpoints as well.
    const std::span<const candidate> drawn = std::span{candidates}.first(size);
    const candidate& first = drawn[pick_weighted(drawn, total, random)];
    const candidate& second = drawn[pick_weighted(drawn, total, random)];
    const member& a = plan.members[first.index];
    const member& b = plan.members[second.index];
    const bool prefer_second = load_score(*b.record, second.weight, b.local) <
                               load_score(*a.record, first.weight, a.local);
    return prefer_second ? &b : &a;
}

const router::member* router::choose_replica_to_probe(const read_requirements& read,
                                                      group_plan& plan, instant now) const {
    if (!read.expect) {
        return nullptr;
    }
    const auto newest = plan.marks->expected_age({}, now);
    if (!newest || *newest > read.max_age) {
        return nullptr;
    }
    for (const member& each : plan.members) {
        const endpoint_record& record = *each.record;
        const bool usable = each.weight > 0 && each.entry->state == member_state::live &&
                            each.entry->id != read.view.primary &&
                            !is_avoided(read, each.entry->id);
        const bool known = record.stamp && now - record.stamped < max_state_age;
        const bool tried = record.probe_sent_at && now - *record.probe_sent_at < max_state_age;
        if (usable && !known && !tried) {
            return &each;
        }
    }
    return nullptr;
}

std::optional<duration> router::catch_up_time(const read_requirements& read, instant now) {
    if (read.session == nullptr) {
        return std::nullopt;
    }
    group_plan& group = plan(read.group);
    const auto written = latest_write_time(read, *group.marks, group.observed);
    std::optional<duration> shortest;
    for (const member& each : group.members) {
        const endpoint_record& record = *each.record;
        const bool usable = each.weight > 0 && each.entry->state == member_state::live &&
                            each.entry->id != read.view.primary && !record.lagging &&
                            !is_avoided(read, each.entry->id) &&
                            is_likely_fresh(record, read, *group.marks, now);
        if (!usable) {
            continue;
        }
        std::optional<duration> estimate;
        if (written) {
            estimate = *written + record.lag - now;
        } else if (record.stamp && record.apply_rate > 0 &&
                   record.stamp->log_term == read.session->term) {
            const auto missing =
                static_cast<double>(read.session->position - record.stamp->position);
            estimate = record.stamped + duration::from_ms(missing / record.apply_rate) - now;
        }
        if (estimate) {
            estimate = std::max(*estimate, duration{});
            shortest = shortest ? std::min(*shortest, *estimate) : estimate;
        }
    }
    return shortest;
}

void router::on_sent(const endpoint_id& endpoint) {
    ++m_records[endpoint].in_flight;
}

void router::on_dropped(const endpoint_id& endpoint) {
    endpoint_record& record = m_records[endpoint];
    record.in_flight -= record.in_flight > 0 ? 1 : 0;
}

void router::on_answer(const endpoint_id& endpoint, duration latency, instant now) {
    on_dropped(endpoint);
    endpoint_record& record = m_records[endpoint];
    if (record.latency == duration{}) {
        record.latency = latency;
        return;
    }
    if (latency > std::max(record.latency * slow_answer_factor, min_slow_latency)) {
        halve_health(record, now);
    }
    record.latency = record.latency + (latency - record.latency) * moving_average_weight;
}

void router::on_error(const endpoint_id& endpoint, instant now) {
    on_dropped(endpoint);
    halve_health(m_records[endpoint], now);
}

void router::on_stamp(const endpoint_id& endpoint, const position_stamp& stamp, instant earliest,
                      instant latest) {
    const endpoint_entry* entry = m_context.fleet->endpoint(endpoint);
    if (entry == nullptr) {
        return;
    }
    group_plan& group = plan(entry->group);
    endpoint_record& record = m_records[endpoint];
    if (record.stamp && latest < record.stamped) {
        return;
    }
    if (record.stamp && record.stamp->log_term == stamp.log_term) {
        const double elapsed = (latest - record.stamped).ms();
        if (stamp.position > record.stamp->position && elapsed > 0) {
            const auto applied = static_cast<double>(stamp.position - record.stamp->position);
            record.apply_rate += (applied / elapsed - record.apply_rate) * moving_average_weight;
        }
    }
    record.stamp = stamp;
    record.stamped = latest;
    if (stamp.role == endpoint_role::primary) {
        record_observed(group.observed, stamp.log_term, stamp.position, latest);
        return;
    }
    if (const auto range = group.marks->lag(stamp, earliest, latest)) {
        record.lag = std::clamp(record.lag, range->low, range->high);
    }
    if (record.lag > group.max_age) {
        record.lagging = true;
    } else if (record.lag <= group.max_age * lag_readmission_fraction) {
        record.lagging = false;
    }
}

double router::health(const endpoint_id& endpoint, instant now) const {
    const auto found = m_records.find(endpoint);
    return found == m_records.end() ? 1 : current_health(found->second, now);
}

std::uint32_t router::in_flight(const endpoint_id& endpoint) const {
    const auto found = m_records.find(endpoint);
    return found == m_records.end() ? 0 : found->second.in_flight;
}

}  // namespace jasminelead
