#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

namespace jasminelead::soak {
namespace {

using enum fault_kind;
using enum instance_choice;

// The first faults begin after this time.
constexpr double first_fault_ms = 500;

constexpr std::array<std::pair<fault_kind, std::string_view>, 38> names{{
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
    {store_restored, "store_restored"},
    {config_change, "config_change"},
    {key_removed, "key_removed"},
    {drain, "drain"},
    {drain_called_off, "drain_called_off"},
    {crash, "crash"},
    {cut_off, "cut_off"},
    {cut_from_hosts, "cut_from_hosts"},
    {isolate, "isolate"},
    {deaf, "deaf"},
    {lagging, "lagging"},
    {slow, "slow"},
    {answers_lost, "answers_lost"},
    {link_cut, "link_cut"},
    {link_cut_one_way, "link_cut_one_way"},
    {link_slow, "link_slow"},
    {link_reset, "link_reset"},
    {link_stale, "link_stale"},
    {host_cut, "host_cut"},
    {data_centre_cut, "data_centre_cut"},
    {host_kill, "host_kill"},
    {host_term, "host_term"},
    {host_freeze, "host_freeze"},
    {host_reload, "host_reload"},
    {hosts_killed, "hosts_killed"},
    {burst, "burst"},
}};

// Primaries replace each other, and former ones still report that they lead.
soak_profile replacement_faults() {
    soak_profile result;
    result.name = "replacement";
    result.services = 3;
    result.load.clients = 45;
    result.load.pause_ms = 70;
    result.load.write_share = 0.4;
    result.rates = {
        {list_late, 2500, 3000, 12000, 800, 3000},
        {isolate, 2500, 2000, 8000, 0.15, 0.6},
        {isolate, 8000, 2000, 8000, 0.15, 0.6, any},
        {drain_called_off, 5000, 500, 3000, 0, 0, any},
        {cut_off, 4000, 800, 6000},
        {cut_from_hosts, 2500, 500, 3000, 0.6, 1},
        {cut_from_hosts, 3000, 500, 3000, 0.4, 1, replica},
        {slow, 3000, 500, 3000, 100, 500, any},
        {deaf, 8000, 1000, 5000, 0, 0, replica},
        {crash, 10000, 800, 4000},
        {promotion_effects_late, 6000, 2000, 8000, 200, 3000},
        {promotion_answers_late, 9000, 2000, 6000, 200, 1500},
        {promotion_unanswered, 15000, 2000, 5000, 0.3, 1},
        {burst, 8000, 1000, 4000, 10, 25},
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
        {crash, 12000, 1000, 6000},
        {isolate, 9000, 1000, 6000, 0.2, 0.8},
        {cut_from_hosts, 8000, 500, 4000, 0.3, 1},
        {host_kill, 12000, 300, 2500},
        {link_cut, 9000, 300, 5000},
        {host_cut, 15000, 500, 5000},
        {link_stale, 8000, 1, 1},
        {host_freeze, 9000, 200, 3000},
        {config_change, 7000, 1, 1},
    };
    return result;
}

// Keys are replaced while hosts fail, and while the store refuses some of them.
soak_profile account_faults() {
    soak_profile result;
    result.name = "accounts";
    result.services = 2;
    result.accounts = 9;
    result.rates = {
        {key_removed, 2500, 1, 1},
        {config_change, 10000, 1, 1},
        {store_refuses_host, 5000, 3000, 8000},
        {store_forgets, 15000, 1, 1},
        {crash, 15000, 800, 6000, 0, 0, any},
        {slow, 10000, 500, 3000, 100, 400, any},
        {answers_lost, 10000, 500, 3000, 0.01, 0.2, any},
        {link_reset, 5000, 1, 1},
        {host_kill, 8000, 300, 2500},
        {host_freeze, 8000, 200, 3000},
        {hosts_killed, 20000, 300, 2000, 0.3, 1},
        {burst, 8000, 1000, 4000, 10, 30},
    };
    return result;
}

// Callers send several times the limits of their accounts while the hosts that count and lend fail.
soak_profile limit_faults() {
    soak_profile result;
    result.name = "limits";
    result.services = 2;
    result.accounts = 3;
    result.account_limit_per_s = 40;
    result.load.clients = 45;
    result.load.pause_ms = 20;
    result.rates = {
        {store_refuses_host, 6000, 1000, 8000},
        {store_down, 12000, 500, 5000},
        {store_restored, 20000, 1000, 3000},
        {config_change, 8000, 1, 1},
        {crash, 15000, 800, 6000, 0, 0, any},
        {slow, 8000, 500, 3000, 100, 400, any},
        {answers_lost, 10000, 500, 3000, 0.01, 0.2, any},
        {link_slow, 8000, 500, 3000, 20, 300},
        {link_reset, 8000, 1, 1},
        {host_cut, 9000, 500, 5000},
        {data_centre_cut, 10000, 1000, 6000},
        {host_kill, 5000, 300, 2500},
        {host_freeze, 5000, 200, 4000},
        {host_term, 12000, 100, 1500},
        {hosts_killed, 12000, 300, 2000, 0.3, 1},
        {burst, 6000, 1000, 4000, 10, 30},
    };
    return result;
}

// The store loses records of primaries, configurations, keys and hosts that it had acknowledged.
soak_profile restored_store_faults() {
    soak_profile result;
    result.name = "restored";
    result.services = 2;
    result.accounts = 6;
    result.load.write_share = 0.4;
    result.rates = {
        {store_restored, 7000, 1500, 5000},
        {store_refuses_host, 7000, 500, 5000},
        {config_change, 2500, 1, 1},
        {key_removed, 5000, 1, 1},
        {drain_called_off, 4000, 500, 3000},
        {crash, 6000, 800, 5000},
        {isolate, 8000, 1000, 5000, 0.2, 0.8},
        {list_late, 8000, 2000, 6000, 300, 3000},
        {promotion_effects_late, 10000, 2000, 6000, 200, 3000},
        {host_kill, 8000, 300, 2500},
        {host_term, 10000, 100, 1500},
        {host_freeze, 8000, 200, 3000},
        {hosts_killed, 15000, 300, 2000, 0.3, 0.7},
        {host_cut, 12000, 500, 4000},
    };
    return result;
}

soak_profile mixed_faults() {
    soak_profile result;
    result.name = "mixed";
    result.services = 3;
    result.synchronous = true;
    result.load.clients = 54;
    result.load.pause_ms = 70;
    result.rates = {
        {list_late, 8000, 3000, 10000, 300, 4000},
        {drain, 20000, 7000, 9000},
        {drain, 30000, 7000, 9000, 0, 0, replica},
        {drain_called_off, 15000, 1000, 4000},
        {crash, 12000, 800, 6000},
        {crash, 15000, 800, 6000, 0, 0, replica},
        {cut_off, 10000, 800, 6000, 0, 0, any},
        {isolate, 8000, 1000, 6000, 0.2, 0.8},
        {cut_from_hosts, 8000, 800, 5000, 0.2, 1, any},
        {deaf, 15000, 1000, 6000, 0, 0, replica},
        {lagging, 15000, 1000, 6000, 300, 3000, replica},
        {slow, 10000, 500, 3000, 100, 400, any},
        {answers_lost, 10000, 500, 3000, 0.01, 0.2, any},
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
        {link_cut, 4000, 300, 5000},
        {link_cut_one_way, 5000, 300, 5000},
        {link_slow, 6000, 500, 5000, 5, 400},
        {link_reset, 5000, 1, 1},
        {link_stale, 8000, 1, 1},
        {host_cut, 15000, 500, 5000},
        {data_centre_cut, 30000, 500, 5000},
        {host_kill, 10000, 300, 2500},
        {host_term, 15000, 100, 1500},
        {host_freeze, 6000, 200, 3000},
        {host_reload, 15000, 1, 1},
        {hosts_killed, 40000, 300, 2000, 0.3, 1},
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
    static const std::vector<soak_profile> profiles{mixed_faults(), replacement_faults(),
                                                    store_faults(), account_faults(),
                                                    limit_faults(), restored_store_faults()};
    return profiles;
}

std::vector<planned_fault> make_plan(const soak_profile& profile, unsigned seed, double length_ms) {
    std::vector<planned_fault> plan;
    unsigned row = 0;
    for (const fault_rate& rate : profile.rates) {
        // Each row has its own numbers, so that a change of one leaves the others as they are.
        std::mt19937 random{seed * 7919U + row++};
        const auto between = [&random](double low, double high) {
            return low + (high - low) * std::uniform_real_distribution<>{0, 1}(random);
        };
        double at = first_fault_ms;
        for (;;) {
            at += std::exponential_distribution<>{1 / rate.every_ms}(random);
            planned_fault item{rate.kind,
                               at,
                               between(rate.min_ms, rate.max_ms),
                               between(rate.min_value, rate.max_value),
                               rate.instance,
                               0};
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
