#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "soak/workload.h"

/// The seeded plan of one run: which faults begin when, and how long they last.
namespace jasminelead::soak {

enum class fault_kind {
    // Of the platform's calls and of its list of instances.
    promotion_answers_late,  ///< Value: most ms.
    promotion_effects_late,  ///< Value: most ms beyond the usual.
    promotion_unanswered,    ///< Value: share of the calls.
    promotion_refused,       ///< Value: share of the calls.
    promotion_cut,           ///< From one host.
    list_late,               ///< Value: ms from a change of a role to its listing.
    store_down,              ///< For all hosts.
    store_refuses_host,
    store_slow,          ///< Value: ms added to each answer.
    store_answers_lost,  ///< Value: share of the calls.
    store_calls_late,    ///< Value: share of the calls.
    store_forgets,
    store_restored,  ///< Comes back from a copy that is as old as the fault is long.
    config_change,
    key_removed,  ///< The key of one account is replaced by another one.
    // Of instances.
    drain,             ///< The instance ends and a new one takes its place.
    drain_called_off,  ///< It reports that it is draining for the length.
    crash,
    cut_off,         ///< From the other instances.
    cut_from_hosts,  ///< Value: share of the hosts.
    isolate,         ///< From the other instances; for a share of the length from all hosts.
    deaf,
    lagging,       ///< Value: ms behind.
    slow,          ///< Value: ms of work a statement.
    answers_lost,  ///< Value: share of the statements that were run.
    // Of the links of one host, or of all hosts of a data centre.
    link_cut,  ///< Both ways, in silence.
    link_cut_one_way,
    link_slow,  ///< Value: ms each way.
    link_reset,
    link_stale,       ///< Open connections go silent for good.
    host_cut,         ///< All links of a host.
    data_centre_cut,  ///< All links to other places than the data centre.
    // Of hosts and clients.
    host_kill,
    host_term,
    host_freeze,
    host_reload,
    hosts_killed,  ///< Value: share of the hosts, at the same moment.
    burst,         ///< Value: clients that come in addition.
};

std::string_view to_string(fault_kind kind);

/// Which instance of a service a fault concerns.
enum class instance_choice { primary, replica, any };

/// How often faults of a kind begin, and their ranges.
struct fault_rate {
    fault_kind kind;
    double every_ms;  ///< Mean time between two of them.
    double min_ms;
    double max_ms;
    double min_value = 0;
    double max_value = 0;
    instance_choice instance = instance_choice::primary;
};

struct soak_profile {
    std::string name;
    std::size_t services = 1;
    bool synchronous = false;        ///< For the last service.
    std::size_t accounts = 0;        ///< Without accounts, no client needs a key.
    double account_limit_per_s = 0;  ///< Of operations, and as burst; 0: no limit.
    double work_ms = 12;
    std::size_t queue = 1;
    load_settings load;
    std::vector<fault_rate> rates;
};

struct planned_fault {
    fault_kind kind;
    double at_ms;
    double length_ms;
    double value;
    instance_choice instance;
    std::uint32_t target;  ///< Chooses the service, the instance, the host and the link.
};

const std::vector<soak_profile>& soak_profiles();

/// In the order of their beginnings; all end before `length_ms`.
std::vector<planned_fault> make_plan(const soak_profile& profile, unsigned seed, double length_ms);

}  // namespace jasminelead::soak
