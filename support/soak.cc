#include "soak.h"

#include <algorithm>
#include <array>
#include <ostream>

#include "workload.h"

namespace jasminelead::support {
namespace {

using namespace literals;

constexpr duration warm_up_time = 3_s;
constexpr duration fault_phase_duration = 12_s;
constexpr duration max_fault_duration = 5_s;
/// Time limit for the system to serve requests again after all faults are reverted.
constexpr duration recovery_time = 15_s;
constexpr duration revision_check_interval = 50_ms;

constexpr std::array<std::string_view, fault_kind_count> fault_kind_names = {
    "crash_primary",    "silence_primary",    "silence_connections", "crash_replica",
    "stop_replication", "stall_primary",      "stall_replica",       "crash_host",
    "lose_power",       "pause_host",         "drain_host",          "cut_data_centre",
    "stop_store",       "lose_store_answers", "edit_table",          "switch_primary",
    "leave_endpoint"};

std::string describe(const std::optional<caller_reply>& reply) {
    struct visitor {
        std::string operator()(const done& /*unused*/) const { return "done"; }
        std::string operator()(const not_run& item) const {
            return "not run, " + std::string{to_string(item.why)};
        }
        std::string operator()(const unknown_outcome& item) const {
            return "unknown, " + std::string{to_string(item.why)};
        }
    };
    return reply ? std::visit(visitor{}, reply->result) : "no answer";
}

class soak_run {
public:
    soak_run(const soak_options& options, std::span<const fault> faults)
        : m_testbed{options.deployment == "cascadia" ? cascadia() : cooperative(),
                    make_testbed_options(options)},
          m_workload{m_testbed, {}},
          m_faults{faults} {}

    soak_result run() {
        m_testbed.run_for(warm_up_time);
        m_workload.start();
        for (const fault& item : m_faults) {
            m_testbed.schedule(item.at, [this, &item] { inject(item); });
        }
        check_revision_order();
        m_testbed.run_for(fault_phase_duration + max_fault_duration);
        m_testbed.heal();
        m_testbed.run_for(recovery_time);
        check_writes_served();
        m_workload.stop();
        m_testbed.run_for(recovery_time);
        m_workload.check_final_state();
        return result();
    }

private:
    static testbed_options make_testbed_options(const soak_options& options) {
        testbed_options result;
        result.seed = options.seed;
        result.strict = options.strict;
        result.enabled = options.enabled;
        return result;
    }

    void schedule_undo(const fault& item, std::function<void()> undo) {
        m_testbed.schedule(item.span, std::move(undo));
    }

    void inject(const fault& item) {
        const group_id& group = m_testbed.groups()[item.target % m_testbed.groups().size()];
        const host_id& host = m_testbed.hosts()[item.target % m_testbed.hosts().size()];
        switch (item.kind) {
            case fault_kind::crash_primary:
                crash(item, m_testbed.primary_of(group));
                break;
            case fault_kind::crash_replica:
                crash(item, replica_of(group));
                break;
            case fault_kind::silence_primary:
                silence(item, m_testbed.primary_of(group));
                break;
            case fault_kind::silence_connections:
                m_testbed.silence_connections(m_testbed.primary_of(group));
                break;
            case fault_kind::stall_primary:
                stall(item, m_testbed.primary_of(group));
                break;
            case fault_kind::stall_replica:
                stall(item, replica_of(group));
                break;
            case fault_kind::stop_replication:
                stop_replication(item, replica_of(group));
                break;
            case fault_kind::leave_endpoint:
                mark_leaving(item, m_testbed.primary_of(group));
                break;
            case fault_kind::switch_primary:
                for (const host_id& any : m_testbed.hosts()) {
                    m_testbed.switchover(any, group);
                }
                break;
            default:
                inject_host_or_store_fault(item, host);
                break;
        }
    }

    void inject_host_or_store_fault(const fault& item, const host_id& host) {
        switch (item.kind) {
            case fault_kind::crash_host:
                m_testbed.crash_host(host);
                schedule_undo(item, [this, host] { m_testbed.restart_host(host); });
                break;
            case fault_kind::lose_power:
                m_testbed.lose_power(host);
                schedule_undo(item, [this, host] { m_testbed.restart_host(host); });
                break;
            case fault_kind::pause_host:
                m_testbed.pause_host(host);
                schedule_undo(item, [this, host] { m_testbed.resume_host(host); });
                break;
            case fault_kind::drain_host:
                m_testbed.drain(host);
                schedule_undo(item, [this, host] {
                    m_testbed.crash_host(host);
                    m_testbed.restart_host(host);
                });
                break;
            case fault_kind::cut_data_centre: {
                const data_centre_id place = m_testbed.data_centre(item.target);
                m_testbed.set_partitioned(place, true);
                schedule_undo(item, [this, place] { m_testbed.set_partitioned(place, false); });
                break;
            }
            case fault_kind::stop_store:
                m_testbed.set_store_available(false);
                schedule_undo(item, [this] { m_testbed.set_store_available(true); });
                break;
            case fault_kind::lose_store_answers:
                m_testbed.lose_store_answers(3);
                break;
            default:
                edit_read_weight(item);
                break;
        }
    }

    void crash(const fault& item, const endpoint_id& id) {
        m_testbed.crash_endpoint(id);
        schedule_undo(item, [this, id] { m_testbed.restart_endpoint(id); });
    }

    void silence(const fault& item, const endpoint_id& id) {
        m_testbed.set_endpoint_silent(id, true);
        schedule_undo(item, [this, id] { m_testbed.set_endpoint_silent(id, false); });
    }

    void stall(const fault& item, const endpoint_id& id) {
        m_testbed.set_endpoint_stalled(id, true);
        schedule_undo(item, [this, id] { m_testbed.set_endpoint_stalled(id, false); });
    }

    void stop_replication(const fault& item, const endpoint_id& id) {
        m_testbed.set_replication_stopped(id, true);
        schedule_undo(item, [this, id] { m_testbed.set_replication_stopped(id, false); });
    }

    void mark_leaving(const fault& item, const endpoint_id& id) {
        m_testbed.set_member_state(id, member_state::leaving);
        schedule_undo(item, [this, id] { m_testbed.set_member_state(id, member_state::live); });
    }

    endpoint_id replica_of(const group_id& group) {
        const endpoint_id primary = m_testbed.primary_of(group);
        for (const endpoint_id& id : m_testbed.endpoints_of(group)) {
            if (id != primary) {
                return id;
            }
        }
        return primary;
    }

    void edit_read_weight(const fault& item) {
        const endpoint_id id =
            m_testbed.endpoints_of(m_testbed.groups()[item.target % m_testbed.groups().size()])
                .front();
        const std::string cell = "endpoint/" + id.str() + ".read_weight";
        const std::string value = std::to_string(1 + item.target % 1000);
        const std::string expected = std::exchange(m_weights[cell], value);
        m_testbed.edit_table({{cell, expected.empty() ? "100" : expected, value}});
    }

    /// Reports a daemon whose table revision decreases while the daemon runs.
    void check_revision_order() {
        for (const host_id& host : m_testbed.hosts()) {
            const kernel* const core = m_testbed.kernel_of(host);
            if (core == nullptr) {
                m_revisions.erase(host);
                continue;
            }
            const auto& config = core->context().config;
            const revision_number revision = config == nullptr ? 0 : config->revision;
            revision_number& highest = m_revisions[host];
            // A restarted daemon reports revision 0 until it has read a table.
            if (revision < highest && revision != 0) {
                m_violations.push_back("table revision of " + host.str() + " decreased from " +
                                       std::to_string(highest) + " to " + std::to_string(revision));
            }
            highest = revision;
        }
        m_testbed.schedule(revision_check_interval, [this] { check_revision_order(); });
    }

    /// After all faults are reverted, every daemon serves writes to every group, and all daemons
    /// have the same table revision.
    void check_writes_served() {
        std::set<revision_number> revisions;
        for (const host_id& host : m_testbed.hosts()) {
            const auto& config = m_testbed.kernel_of(host)->context().config;
            revisions.insert(config == nullptr ? 0 : config->revision);
            for (const group_id& group : m_testbed.groups()) {
                check_write(host, group);
            }
        }
        if (revisions.size() != 1) {
            m_violations.emplace_back("daemons have different table revisions after the recovery");
        }
        m_testbed.run_for(2_s);
        if (m_served != m_testbed.hosts().size() * m_testbed.groups().size()) {
            m_violations.push_back(
                "not every group serves writes on every daemon after the recovery: " +
                std::to_string(m_served) + " of " +
                std::to_string(m_testbed.hosts().size() * m_testbed.groups().size()) +
                " writes succeeded");
        }
    }

    void check_write(const host_id& host, const group_id& group) {
        caller_request request;
        request.group = group;
        request.service = service_id{"web"};
        request.text = "set check " + host.str();
        request.timeout = 1_s;
        m_testbed.submit(host, std::move(request), [this, host, group](const auto& reply) {
            if (reply && std::holds_alternative<done>(reply->result)) {
                ++m_served;
            } else {
                m_violations.push_back("no write of " + group.str() + " on " + host.str() +
                                       " after the recovery: " + describe(reply));
            }
        });
    }

    soak_result result() {
        soak_result summary;
        summary.requests = m_workload.report().requests;
        summary.done = m_workload.report().done;
        summary.violations = m_violations;
        for (const auto& [name, times] : m_workload.report().violations) {
            summary.violations.push_back(name + " violated " + std::to_string(times) + " times");
        }
        for (const auto& [name, times] : m_testbed.violations_by_invariant()) {
            if (times > 0) {
                summary.violations.push_back("invariant " + name + " violated " +
                                             std::to_string(times) + " times");
            }
        }
        return summary;
    }

    testbed m_testbed;
    workload m_workload;
    std::span<const fault> m_faults;
    std::map<std::string, std::string> m_weights;
    std::map<host_id, revision_number> m_revisions;
    std::size_t m_served = 0;
    std::vector<std::string> m_violations;
};

}  // namespace

std::string_view to_string(fault_kind kind) {
    return fault_kind_names.at(static_cast<std::size_t>(kind));
}

std::ostream& operator<<(std::ostream& out, const fault& item) {
    return out << to_string(item.kind) << " at " << item.at.ms() << " ms for " << item.span.ms()
               << " ms, target " << item.target;
}

std::vector<fault> random_faults(std::uint64_t seed) {
    std::mt19937_64 random{seed};
    std::uniform_int_distribution<std::size_t> fault_count{1, 8};
    std::uniform_int_distribution<std::size_t> kind{0, fault_kind_count - 1};
    std::uniform_int_distribution<std::int64_t> at{0, fault_phase_duration.us()};
    std::uniform_int_distribution<std::int64_t> span{50'000, max_fault_duration.us()};
    std::uniform_int_distribution<std::size_t> target{0, 999};
    std::vector<fault> faults(fault_count(random));
    for (fault& item : faults) {
        item.kind = static_cast<fault_kind>(kind(random));
        item.at = duration::from_us(at(random));
        item.span = duration::from_us(span(random));
        item.target = target(random);
    }
    return faults;
}

soak_result run_soak(const soak_options& options, std::span<const fault> faults) {
    return soak_run{options, faults}.run();
}

}  // namespace jasminelead::support
