#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace jasminelead::soak {
namespace {

using enum fault_kind;

// The first faults begin after this time.
constexpr double first_fault_ms = 500;

constexpr std::array<std::pair<fault_kind, std::string_view>, 29> names{{
    {promotion_answers_late, "promotion_answers_late"},
    {promotion_effects_late, "promotion_effects_late"},
    {promotion_unanswered, "promotion_unanswered"},
    {promotion_refused, "promotion_refused"},
    {promotion_cut, "promotion_cut"},
    {list_late, "list_late"},
    {store_down, "store_down"},
    {store_refuses_host, "store_refuses_host"},
    {store_slow, "store_slow"},
    {store_answers_lost, "store_answers_lost"},
    {store_calls_late, "store_calls_late"},
    {store_forgets, "store_forgets"},
    {config_change, "config_change"},
    {drain_primary, "drain_primary"},
    {drain_called_off, "drain_called_off"},
    {crash_primary, "crash_primary"},
    {crash_replica, "crash_replica"},
    {cut_primary, "cut_primary"},
    {cut_primary_from_hosts, "cut_primary_from_hosts"},
    {cut_replica_from_hosts, "cut_replica_from_hosts"},
    {deaf_replica, "deaf_replica"},
    {lagging_replica, "lagging_replica"},
    {slow_instance, "slow_instance"},
    {answers_lost, "answers_lost"},
    {host_kill, "host_kill"},
    {host_term, "host_term"},
    {host_freeze, "host_freeze"},
    {host_reload, "host_reload"},
    {burst, "burst"},
}};

soak_profile replacement() {
    soak_profile result;
    result.name = "replacement";
    result.services = 1;
    result.work_ms = 14;
    result.load.clients = 40;
    result.load.write_share = 0.4;
    result.rates = {
        {list_late, 4000, 3000, 12000, 800, 3000},
        {drain_called_off, 9000, 1000, 4000},
        {cut_primary, 3500, 800, 6000},
        {cut_primary_from_hosts, 4000, 800, 5000, 0.5, 1},
        {cut_replica_from_hosts, 8000, 800, 4000, 0.3, 0.9},
        {slow_instance, 4000, 500, 3000, 100, 500},
        {promotion_effects_late, 8000, 2000, 8000, 200, 3000},
        {promotion_answers_late, 9000, 2000, 6000, 200, 1500},
        {promotion_unanswered, 12000, 2000, 6000, 0.3, 1},
        {crash_primary, 15000, 800, 5000},
        {deaf_replica, 15000, 1000, 4000},
        {burst, 10000, 1000, 4000, 10, 25},
    };
    return result;
}

soak_profile store_faults() {
    soak_profile result;
    result.name = "store";
    result.services = 2;
    result.load.clients = 36;
    result.rates = {
        {store_down, 12000, 500, 6000},
        {store_refuses_host, 5000, 500, 6000},
        {store_slow, 9000, 1000, 5000, 20, 600},
        {store_answers_lost, 8000, 1000, 5000, 0.05, 0.5},
        {store_calls_late, 12000, 1000, 4000, 0.02, 0.2},
        {store_forgets, 9000, 1, 1},
        {list_late, 10000, 3000, 8000, 500, 3000},
        {crash_primary, 12000, 1000, 6000},
        {cut_primary, 9000, 1000, 5000},
        {host_kill, 12000, 300, 2500},
        {host_freeze, 9000, 200, 3000},
        {config_change, 7000, 1, 1},
    };
    return result;
}

soak_profile mixed() {
    soak_profile result;
    result.name = "mixed";
    result.services = 3;
    result.work_ms = 12;
    result.load.clients = 54;
    result.rates = {
        {list_late, 8000, 3000, 10000, 300, 4000},
        {drain_primary, 20000, 7000, 9000},
        {drain_called_off, 15000, 1000, 4000},
        {crash_primary, 12000, 800, 6000},
        {crash_replica, 15000, 800, 6000},
        {cut_primary, 8000, 800, 6000},
        {cut_primary_from_hosts, 8000, 800, 5000, 0.2, 1},
        {cut_replica_from_hosts, 12000, 800, 5000, 0.2, 1},
        {deaf_replica, 15000, 1000, 6000},
        {lagging_replica, 15000, 1000, 6000, 300, 3000},
        {slow_instance, 10000, 500, 3000, 100, 400},
        {answers_lost, 10000, 500, 3000, 0.01, 0.2},
        {promotion_effects_late, 12000, 2000, 8000, 200, 4700},
        {promotion_answers_late, 12000, 2000, 6000, 200, 3000},
        {promotion_unanswered, 15000, 2000, 6000, 0.3, 1},
        {promotion_refused, 15000, 1000, 5000, 0.3, 1},
        {promotion_cut, 15000, 1000, 5000},
        {store_down, 25000, 500, 5000},
        {store_refuses_host, 12000, 500, 6000},
        {store_slow, 15000, 1000, 5000, 20, 500},
        {store_answers_lost, 15000, 1000, 4000, 0.05, 0.4},
        {store_forgets, 15000, 1, 1},
        {host_kill, 10000, 300, 2500},
        {host_term, 15000, 100, 1500},
        {host_freeze, 6000, 200, 3000},
        {host_reload, 15000, 1, 1},
        {config_change, 10000, 1, 1},
        {burst, 12000, 1000, 4000, 10, 30},
    };
    return result;
}

}  // namespace

std::string_view to_string(fault_kind kind) {
    const auto found = std::find_if(names.begin(), names.end(),
                                    [kind](const auto& item) { return item.first == kind; });
    return found == names.end() ? "unknown" : found->second;
}

const std::vector<soak_profile>& soak_profiles() {
    static const std::vector<soak_profile> profiles{mixed(), replacement(), store_faults()};
    return profiles;
}

std::vector<planned_fault> make_plan(const soak_profile& profile, unsigned seed, double length_ms) {
    std::vector<planned_fault> plan;
    for (const fault_rate& rate : profile.rates) {
        // Each kind has its own numbers, so that a change of one row leaves the others as they are.
        std::mt19937 random{seed * 7919U + static_cast<unsigned>(rate.kind)};
        const auto between = [&random](double low, double high) {
            return low + (high - low) * std::uniform_real_distribution<>{0, 1}(random);
        };
        double at = first_fault_ms;
        for (;;) {
            at += std::exponential_distribution<>{1 / rate.every_ms}(random);
            planned_fault item{rate.kind, at, between(rate.min_ms, rate.max_ms),
                               between(rate.min_value, rate.max_value), 0};
            item.target = static_cast<std::uint32_t>(random());
            if (at >= length_ms) {
                break;
            }
            item.length_ms = std::min(item.length_ms, length_ms - at);
            plan.push_back(item);
        }
    }
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto& a, const auto& b) { return a.at_ms < b.at_ms; });
    return plan;
}

}  // namespace jasminelead::soak
