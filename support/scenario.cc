#include "scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace jasminelead::support {
namespace {

using namespace literals;
namespace json = boost::json;

constexpr duration warm_up_time = 3_s;
constexpr duration settle_time = 12_s;
constexpr duration probe_interval = 2_ms;
constexpr int failovers_per_run = 20;

struct load {
    std::size_t sessions = 0;
    duration think_time;
    double reads = 0;
    double max_age_reads = 0;
};

constexpr load morning_load = {60, 15_ms, 0.9, 0.5};
constexpr load judging_load = {60, 15_ms, 0.5, 0.4};
constexpr load light_load = {6, 1000_ms, 0.8, 0.5};
constexpr load fault_load = {30, 30_ms, 0.7, 0.5};

/// Latencies of writes that are sent at a fixed rate around a fault.
class write_probe {
public:
    write_probe(testbed& bed, group_id group) : m_bed{bed}, m_group{std::move(group)} {}

    void run(instant from, instant until) {
        for (instant at = from; at < until; at = at + probe_interval) {
            m_bed.schedule(at - m_bed.now(), [this] { send(); });
        }
    }
    /// Longest time to serve a write that was sent after the fault, less the median before it.
    [[nodiscard]] double gap_ms(instant fault) const {
        std::vector<double> before;
        double longest = 0;
        for (const auto& [sent, latency] : m_served) {
            if (sent < fault) {
                before.push_back(latency.ms());
            } else {
                longest = std::max(longest, latency.ms());
            }
        }
        std::sort(before.begin(), before.end());
        const double median = before.empty() ? 0 : before[before.size() / 2];
        return std::max(0.0, longest - median);
    }

private:
    void send() {
        caller_request request;
        request.group = m_group;
        request.service = service_id{"web"};
        request.text = "set probe " + std::to_string(m_sent);
        request.timeout = 30_s;
        host_id host = m_bed.hosts()[m_sent % m_bed.hosts().size()];
        for (std::size_t i = 0; !m_bed.is_up(host) && i < m_bed.hosts().size(); ++i) {
            host = m_bed.hosts()[(m_sent + i) % m_bed.hosts().size()];
        }
        ++m_sent;
        const instant sent = m_bed.now();
        m_bed.submit(host, std::move(request), [this, sent](const auto& reply) {
            if (reply && std::holds_alternative<done>(reply->result)) {
                m_served.emplace_back(sent, m_bed.now() - sent);
            }
        });
    }

    testbed& m_bed;
    group_id m_group;
    std::size_t m_sent = 0;
    std::vector<std::pair<instant, duration>> m_served;
};

class scenario_run {
public:
    scenario_run(const scenario_options& options, const deployment& sizes)
        : m_options{options}, m_bed{sizes, bed_options(options)} {}

    scenario_result run() {
        const std::string& name = m_options.scenario;
        if (name == "morning-rush") {
            serve(morning_load, 10_s);
        } else if (name == "judging-peak") {
            serve(judging_load, 10_s);
        } else if (name == "overload-3x") {
            overload();
        } else if (name == "store-down-hour") {
            store_down_hour();
        } else {
            failovers(name);
        }
        finish();
        return report();
    }

private:
    static testbed_options bed_options(const scenario_options& options) {
        testbed_options result;
        result.seed = options.seed;
        result.strict = false;
        result.enabled = options.enabled;
        if (options.policy == "primary_only") {
            result.routing_policy = "primary_only";
        } else if (options.policy == "lease_only") {
            result.failover_policy = "lease_only";
        }
        return result;
    }

    void start(const load& load) {
        m_bed.run_for(warm_up_time);
        m_store_calls_before = m_bed.store_calls();
        workload_settings settings;
        settings.sessions = load.sessions;
        settings.think_time = load.think_time;
        settings.reads = load.reads;
        settings.max_age_reads = load.max_age_reads;
        m_workload = std::make_unique<workload>(m_bed, settings);
        m_workload->start();
        m_started = m_bed.now();
    }

    void serve(const load& load, duration span) {
        start(load);
        m_bed.run_for(span);
    }

    /// Sessions without a pause, three times as many as the slots serve.
    void overload() {
        const deployment& sizes = m_bed.sizes();
        const std::size_t slots = sizes.groups * 3 * sizes.limits.slots;
        serve({slots * 3 * 4, 1_ms, 0.5, 0.5}, 5_s);
    }

    void store_down_hour() {
        start(light_load);
        m_bed.run_for(5_s);
        m_bed.set_store_available(false);
        m_bed.run_for(1800_s);
        run_failover("primary-crash", m_bed.groups().front());
        m_bed.crash_host(m_bed.hosts().front());
        m_bed.run_for(2_s);
        m_bed.restart_host(m_bed.hosts().front());
        m_bed.run_for(1790_s);
        m_bed.set_store_available(true);
    }

    void failovers(const std::string& fault) {
        start(fault_load);
        m_bed.run_for(1_s);
        for (int i = 0; i < failovers_per_run; ++i) {
            const auto group = static_cast<std::size_t>(i) % m_bed.groups().size();
            run_failover(fault, m_bed.groups()[group]);
        }
    }

    void run_failover(const std::string& fault, const group_id& group) {
        constexpr duration before = 200_ms;
        constexpr duration after = 500_ms;
        const endpoint_id primary = m_bed.primary_of(group);
        const term_number term = m_bed.endpoint(primary).stamp().term;
        write_probe probe{m_bed, group};
        probe.run(m_bed.now(), m_bed.now() + before + after);
        std::uniform_int_distribution<std::int64_t> offset_us{0, 50'000};
        m_bed.run_for(before + duration::from_us(offset_us(m_bed.random())));
        const instant fault_time = m_bed.now();
        const host_id owner = inject(fault, group, primary);
        m_bed.run_for(32_s);
        m_gaps.push_back(probe.gap_ms(fault_time));
        const endpoint_id successor = m_bed.primary_of(group);
        m_failovers += m_bed.endpoint(successor).stamp().term > term ? 1 : 0;
        m_bed.set_endpoint_silent(primary, false);
        m_bed.restart_endpoint(primary);
        m_bed.restart_host(owner);
        m_bed.run_for(6_s);
    }

    /// Returns the host that owned the primary.
    host_id inject(const std::string& fault, const group_id& group, const endpoint_id& primary) {
        const host_id owner = owner_of(primary);
        if (fault == "primary-crash") {
            m_bed.crash_endpoint(primary);
        } else if (fault == "primary-silent") {
            m_bed.set_endpoint_silent(primary, true);
        } else if (fault == "owner-and-primary-together") {
            m_bed.crash_endpoint(primary);
            m_bed.crash_host(owner);
        } else if (fault == "owner-crash") {
            m_bed.crash_host(owner);
        } else if (fault == "planned-switch") {
            m_bed.switchover(owner, group);
        }
        return owner;
    }

    host_id owner_of(const endpoint_id& endpoint) {
        for (const host_id& host : m_bed.hosts()) {
            if (!m_bed.is_up(host)) {
                continue;
            }
            const host_id* const owner = m_bed.kernel_of(host)->context().fleet->owner_of(endpoint);
            if (owner != nullptr && *owner == host) {
                return host;
            }
        }
        return m_bed.hosts().front();
    }

    void finish() {
        m_measured_time = m_bed.now() - m_started;
        m_store_calls = m_bed.store_calls() - m_store_calls_before;
        m_workload->stop();
        m_bed.heal();
        m_bed.run_for(settle_time);
        m_workload->check_final_state();
    }

    scenario_result report() {
        const workload_report& workload_figures = m_workload->report();
        json::object violations;
        for (const auto& [name, times] : workload_figures.violations) {
            violations[name] = times;
        }
        for (const auto& [name, times] : m_bed.violations_by_invariant()) {
            if (times > 0) {
                violations["core." + name] = times;
            }
        }
        const std::uint64_t total_violations =
            m_workload->violations() + m_bed.invariant_violations();
        json::object figures{
            {"scenario", m_options.scenario},
            {"deployment", m_bed.sizes().name},
            {"policy", m_options.policy},
            {"seed", m_options.seed},
            {"seconds", m_measured_time.ms() / 1000},
            {"requests", workload_figures.requests},
            {"done", workload_figures.done},
            {"not_run", workload_figures.not_run},
            {"unknown", workload_figures.unknown},
            {"reads", workload_figures.reads},
            {"replica_reads", workload_figures.replica_reads},
            {"replica_read_share", share(workload_figures.replica_reads, workload_figures.reads)},
            {"aged_replica_read_share",
             share(workload_figures.max_age_replica_reads, workload_figures.max_age_reads)},
            {"own_replica_read_share",
             share(workload_figures.replica_reads - workload_figures.max_age_replica_reads,
                   workload_figures.reads - workload_figures.max_age_reads)},
            {"failovers", m_failovers},
            {"failover_gap_ms", gaps()},
            {"broken_promises", std::move(violations)},
            {"store_calls", m_store_calls},
            {"store_calls_per_s", static_cast<double>(m_store_calls) * 1000 / m_measured_time.ms()},
            {"control_bytes", m_bed.control_bytes()},
            {"refusals", counters("refusal.")},
            {"retries", counters("retry.")},
        };
        return {std::move(figures), total_violations};
    }

    static double share(std::uint64_t part, std::uint64_t whole) {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }

    json::object gaps() {
        if (m_gaps.empty()) {
            return {};
        }
        std::sort(m_gaps.begin(), m_gaps.end());
        const auto at = [this](double quantile) {
            const auto last = static_cast<double>(m_gaps.size() - 1);
            return m_gaps[static_cast<std::size_t>(std::lround(quantile * last))];
        };
        return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"max", m_gaps.back()}};
    }

    json::object counters(std::string_view prefix) {
        json::object found;
        for (const auto& [name, times] : m_bed.counters()) {
            if (name.starts_with(prefix)) {
                found[name.substr(prefix.size())] = times;
            }
        }
        return found;
    }

    scenario_options m_options;
    testbed m_bed;
    std::unique_ptr<workload> m_workload;
    instant m_started;
    duration m_measured_time;
    std::vector<double> m_gaps;
    int m_failovers = 0;
    std::uint64_t m_store_calls_before = 0;
    std::uint64_t m_store_calls = 0;
};

}  // namespace

std::vector<std::string_view> scenario_names() {
    return {"morning-rush",   "judging-peak",    "primary-crash",
            "primary-silent", "owner-crash",     "owner-and-primary-together",
            "planned-switch", "store-down-hour", "overload-3x"};
}

std::optional<scenario_result> run_scenario(const scenario_options& options) {
    const auto names = scenario_names();
    constexpr std::array<std::string_view, 3> policies = {"default", "primary_only", "lease_only"};
    const bool known_name = std::find(names.begin(), names.end(), options.scenario) != names.end();
    const bool known_policy =
        std::find(policies.begin(), policies.end(), options.policy) != policies.end();
    const bool known_deployment =
        options.deployment == "cascadia" || options.deployment == "cooperative";
    if (!known_name || !known_policy || !known_deployment) {
        return std::nullopt;
    }
    const deployment sizes = options.deployment == "cascadia" ? cascadia() : cooperative();
    return scenario_run{options, sizes}.run();
}

bool disable_mechanism(mechanisms& enabled, std::string_view name) {
    const std::array<std::pair<std::string_view, bool*>, 6> switches = {
        {{"fencing", &enabled.fencing},
         {"token_check", &enabled.token_check},
         {"retry_guard", &enabled.retry_guard},
         {"connection_discard", &enabled.connection_discard},
         {"revision_check", &enabled.revision_check},
         {"claim", &enabled.claim}}};
    for (const auto& [known, mechanism] : switches) {
        if (known == name) {
            *mechanism = false;
            return true;
        }
    }
    return false;
}

}  // namespace jasminelead::support
