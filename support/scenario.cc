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

constexpr load morning_rush_load = {60, 15_ms, 0.9, 0.5};
constexpr load judging_peak_load = {60, 15_ms, 0.5, 0.4};
constexpr load light_load = {6, 1000_ms, 0.8, 0.5};
constexpr load fault_load = {30, 30_ms, 0.7, 0.5};

/// Sends writes at a fixed rate around a fault and records their latencies.
class write_probe {
public:
    write_probe(testbed& bed, group_id group) : m_testbed{bed}, m_group{std::move(group)} {}

    void run(instant from, instant until) {
        for (instant at = from; at < until; at = at + probe_interval) {
            m_testbed.schedule(at - m_testbed.now(), [this] { send(); });
        }
    }
    /// Longest latency of a write sent after the fault, minus the median latency before it.
    [[nodiscard]] double gap_ms(instant fault) const {
        std::vector<double> before;
        double longest = 0;
        for (const auto& [sent, latency] : m_done_writes) {
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
        host_id host = m_testbed.hosts()[m_sent % m_testbed.hosts().size()];
        for (std::size_t i = 0; !m_testbed.is_up(host) && i < m_testbed.hosts().size(); ++i) {
            host = m_testbed.hosts()[(m_sent + i) % m_testbed.hosts().size()];
        }
        ++m_sent;
        const instant sent = m_testbed.now();
        m_testbed.submit(host, std::move(request), [this, sent](const auto& reply) {
            if (reply && std::holds_alternative<done>(reply->result)) {
                m_done_writes.emplace_back(sent, m_testbed.now() - sent);
            }
        });
    }

    testbed& m_testbed;
    group_id m_group;
    std::size_t m_sent = 0;
    std::vector<std::pair<instant, duration>> m_done_writes;
};

class scenario_run {
public:
    scenario_run(const scenario_options& options, const deployment& sizes)
        : m_options{options}, m_testbed{sizes, make_testbed_options(options)} {}

    scenario_result run() {
        const std::string& name = m_options.scenario;
        if (name == "morning-rush") {
            run_load(morning_rush_load, 10_s);
        } else if (name == "judging-peak") {
            run_load(judging_peak_load, 10_s);
        } else if (name == "overload-3x") {
            overload();
        } else if (name == "store-down-hour") {
            store_down_hour();
        } else {
            run_failovers(name);
        }
        stop_and_check();
        return report();
    }

private:
    static testbed_options make_testbed_options(const scenario_options& options) {
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
        m_testbed.run_for(warm_up_time);
        m_store_calls_before = m_testbed.store_calls();
        workload_settings settings;
        settings.sessions = load.sessions;
        settings.think_time = load.think_time;
        settings.reads = load.reads;
        settings.max_age_reads = load.max_age_reads;
        m_workload = std::make_unique<workload>(m_testbed, settings);
        m_workload->start();
        m_started = m_testbed.now();
    }

    void run_load(const load& load, duration span) {
        start(load);
        m_testbed.run_for(span);
    }

    /// Runs three times as many sessions as the slots can serve, with a mean pause of 1 ms.
    void overload() {
        const deployment& sizes = m_testbed.sizes();
        const std::size_t slots = sizes.groups * 3 * sizes.limits.slots;
        run_load({slots * 3 * 4, 1_ms, 0.5, 0.5}, 5_s);
    }

    void store_down_hour() {
        start(light_load);
        m_testbed.run_for(5_s);
        m_testbed.set_store_available(false);
        m_testbed.run_for(1800_s);
        run_failover("primary-crash", m_testbed.groups().front());
        m_testbed.crash_host(m_testbed.hosts().front());
        m_testbed.run_for(2_s);
        m_testbed.restart_host(m_testbed.hosts().front());
        m_testbed.run_for(1790_s);
        m_testbed.set_store_available(true);
    }

    void run_failovers(const std::string& fault) {
        start(fault_load);
        m_testbed.run_for(1_s);
        for (int i = 0; i < failovers_per_run; ++i) {
            const auto group = static_cast<std::size_t>(i) % m_testbed.groups().size();
            run_failover(fault, m_testbed.groups()[group]);
        }
    }

    void run_failover(const std::string& fault, const group_id& group) {
        constexpr duration before = 200_ms;
        constexpr duration after = 500_ms;
        const endpoint_id primary = m_testbed.primary_of(group);
        const term_number term = m_testbed.endpoint(primary).stamp().term;
        write_probe probe{m_testbed, group};
        probe.run(m_testbed.now(), m_testbed.now() + before + after);
        std::uniform_int_distribution<std::int64_t> offset_us{0, 50'000};
        m_testbed.run_for(before + duration::from_us(offset_us(m_testbed.random())));
        const instant fault_time = m_testbed.now();
        const host_id owner = inject(fault, group, primary);
        m_testbed.run_for(32_s);
        m_gaps.push_back(probe.gap_ms(fault_time));
        const endpoint_id successor = m_testbed.primary_of(group);
        m_failovers += m_testbed.endpoint(successor).stamp().term > term ? 1 : 0;
        m_testbed.set_endpoint_silent(primary, false);
        m_testbed.restart_endpoint(primary);
        m_testbed.restart_host(owner);
        m_testbed.run_for(6_s);
    }

    /// Returns the host that owned the primary.
    host_id inject(const std::string& fault, const group_id& group, const endpoint_id& primary) {
        const host_id owner = owner_of(primary);
        if (fault == "primary-crash") {
            m_testbed.crash_endpoint(primary);
        } else if (fault == "primary-silent") {
            m_testbed.set_endpoint_silent(primary, true);
        } else if (fault == "owner-and-primary-together") {
            m_testbed.crash_endpoint(primary);
            m_testbed.crash_host(owner);
        } else if (fault == "owner-crash") {
            m_testbed.crash_host(owner);
        } else if (fault == "planned-switch") {
            m_testbed.switchover(owner, group);
        }
        return owner;
    }

    host_id owner_of(const endpoint_id& endpoint) {
        for (const host_id& host : m_testbed.hosts()) {
            if (!m_testbed.is_up(host)) {
                continue;
            }
            const host_id* const owner =
                m_testbed.kernel_of(host)->context().fleet->owner_of(endpoint);
            if (owner != nullptr && *owner == host) {
                return host;
            }
        }
        return m_testbed.hosts().front();
    }

    void stop_and_check() {
        m_measured_time = m_testbed.now() - m_started;
        m_store_calls = m_testbed.store_calls() - m_store_calls_before;
        m_workload->stop();
        m_testbed.heal();
        m_testbed.run_for(settle_time);
        m_workload->check_final_state();
    }

    scenario_result report() {
        const workload_report& workload_figures = m_workload->report();
        json::object violations;
        for (const auto& [name, times] : workload_figures.violations) {
            violations[name] = times;
        }
        for (const auto& [name, times] : m_testbed.violations_by_invariant()) {
            if (times > 0) {
                violations["core." + name] = times;
            }
        }
        const std::uint64_t total_violations =
            m_workload->violations() + m_testbed.invariant_violations();
        json::object figures{
            {"scenario", m_options.scenario},
            {"deployment", m_testbed.sizes().name},
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
            {"failover_gap_ms", failover_gap_quantiles()},
            {"broken_promises", std::move(violations)},
            {"store_calls", m_store_calls},
            {"store_calls_per_s", static_cast<double>(m_store_calls) * 1000 / m_measured_time.ms()},
            {"control_bytes", m_testbed.control_bytes()},
            {"refusals", counters("refusal.")},
            {"retries", counters("retry.")},
        };
        return {std::move(figures), total_violations};
    }

    static double share(std::uint64_t part, std::uint64_t whole) {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }

    json::object failover_gap_quantiles() {
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
        for (const auto& [name, times] : m_testbed.counters()) {
            if (name.starts_with(prefix)) {
                found[name.substr(prefix.size())] = times;
            }
        }
        return found;
    }

    scenario_options m_options;
    testbed m_testbed;
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
