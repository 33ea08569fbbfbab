#include "proxy/limit_exchange.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "proxy/clock.h"
#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// Loans are renewed twice before they end.
constexpr duration loan_interval = 400_ms;
constexpr duration loan_timeout = 150_ms;
// For the first loans of an account, while its first operation waits.
constexpr duration first_loan_timeout = 60_ms;
// While owners lend nothing, not every operation asks them again.
constexpr duration first_loan_interval = 100_ms;
constexpr duration take_timeout = 120_ms;
// A host that did not answer is asked again after this, and then after twice the time. Each of
// these requests delays the operations that wait for it.
constexpr duration first_backoff = 300_ms;
constexpr duration max_backoff = 4_s;
constexpr duration no_limiter_retry = 100_ms;
constexpr int max_limiters_asked = 3;
constexpr double wait_in_latency_goal = 0.25;
constexpr duration max_idle_time = 1_s;
constexpr std::size_t max_idle_connections = 2;

}  // namespace

limit_exchange::limit_exchange(fleet_state& fleet, store_sync& sync, daemon::metrics& counters,
                               const settings& options)
    : m_fleet{fleet},
      m_sync{sync},
      m_counters{counters},
      m_tolerance{options.tolerance},
      m_ownership{options.host},
      m_pool{fleet.home().io(), max_idle_connections, max_idle_time},
      m_answered{fleet.home().io()} {}

void limit_exchange::start() {
    m_fleet.home().spawn([this] { run(); });
}

void limit_exchange::stop() {
    m_stopped = true;
    m_pool.close();
}

void limit_exchange::run() {
    while (!m_stopped) {
        boost::this_fiber::sleep_until(to_steady(boot_now() + loan_interval));
        refresh_ownership();
        const auto& config = m_fleet.config.current();
        if (!config || !config->accounts.has_limits()) {
            continue;
        }
        borrow(m_limiter.wanted_loans(boot_now()));
        m_limiter.prune(boot_now());
        m_lender.prune(boot_now());
        const instant now = boot_now();
        std::erase_if(m_refused_until, [now](const auto& item) { return item.second <= now; });
        std::erase_if(m_first_loans,
                      [now](const auto& item) { return item.second + first_loan_interval <= now; });
    }
}

std::optional<bucket_limit> limit_exchange::limit_of(const account_id& account) const {
    const auto& config = m_fleet.config.current();
    const operation_limit* const limit = config ? config->accounts.limit(account) : nullptr;
    return limit == nullptr ? std::nullopt : std::optional{plan_bucket(*limit, m_tolerance)};
}

/// Hosts of an earlier build neither count nor lend. Until all know limits, none is kept.
bool limit_exchange::is_limited(const account_id& account) const {
    return !account.empty() && limit_of(account) && m_sync.records().do_all_hosts_keep_limits();
}

std::vector<host_placement> limit_exchange::owners() const {
    std::vector<host_placement> result;
    const auto& granters = m_sync.records().granters();
    const auto& hosts = m_sync.records().hosts();
    for (const host_id& member : granters ? granters->members : std::set<host_id>{}) {
        const auto found = hosts.find(member);
        if (found != hosts.end()) {
            result.push_back({member, found->second.data_centre, found->second.cpu_share});
        }
    }
    return result;
}

const std::vector<host_id>& limit_exchange::limiters(const account_id& account) {
    const auto& granters = m_sync.records().granters();
    // Owners whose records are not known yet are left out, until they are.
    const std::pair<revision_number, std::uint64_t> versions{granters ? granters->revision : 0,
                                                             m_sync.records().hosts_version()};
    if (versions != m_limiters_versions) {
        m_limiters.clear();
        m_limiters_versions = versions;
    }
    const auto [found, is_new] = m_limiters.try_emplace(account);
    if (is_new) {
        found->second = order_limiters(account, owners(), m_fleet.data_centre());
    }
    return found->second;
}

std::optional<std::string> limit_exchange::address_of(const host_id& host) const {
    const auto& hosts = m_sync.records().hosts();
    const auto found = hosts.find(host);
    return found == hosts.end() ? std::nullopt : std::optional{found->second.peer_address};
}

void limit_exchange::refresh_ownership() {
    const instant now = boot_now();
    if (const auto& granters = m_sync.records().granters()) {
        m_ownership.update(*granters, m_fleet.lease.era(), now);
    }
    std::set<data_centre_id> data_centres;
    for (const host_placement& owner : owners()) {
        data_centres.insert(owner.data_centre);
    }
    m_lender.set_data_centres(data_centres.size());
    const double share = m_ownership.share(m_sync.confirmed_age(now), now);
    if (share != m_lender.owned()) {
        m_lender.set_owned(share, now);
        log_line{log_class::change, "limit_share"}
            .with("owned_ppm", static_cast<std::int64_t>(share * 1e6))
            .write();
    }
}

std::optional<limit_refusal> limit_exchange::known_refusal(const account_id& account) const {
    const auto found = m_refused_until.find(account);
    const instant now = boot_now();
    if (found == m_refused_until.end() || found->second <= now) {
        return std::nullopt;
    }
    return limit_refusal{found->second - now, true};
}

std::optional<limit_refusal> limit_exchange::await_known_refusal(const account_id& account,
                                                                 instant wait_end) {
    const auto refusal = known_refusal(account);
    if (!refusal || !is_limited(account)) {
        return std::nullopt;
    }
    const instant end = boot_now() + refusal->retry_after;
    if (end > wait_end) {
        m_counters.count("limit_decisions", "refused");
        return refusal;
    }
    boost::this_fiber::sleep_until(to_steady(end));
    return std::nullopt;
}

void limit_exchange::record_refusal(const account_id& account, duration retry_after) {
    m_refused_until[account] = boot_now() + retry_after;
}

std::variant<instant, limit_refusal> limit_exchange::take(const account_id& account,
                                                          instant wait_end) {
    if (!is_limited(account)) {
        return boot_now();
    }
    for (;;) {
        auto refusal = known_refusal(account);
        if (!refusal) {
            const auto taken = take_once(account);
            if (const auto* const counted_at = std::get_if<instant>(&taken)) {
                m_counters.count("limit_decisions", "granted");
                return *counted_at;
            }
            refusal = std::get<limit_refusal>(taken);
            if (refusal->is_limit_reached) {
                record_refusal(account, refusal->retry_after);
            }
        }
        if (boot_now() + refusal->retry_after > wait_end || m_stopped) {
            m_counters.count("limit_decisions", "refused");
            return *refusal;
        }
        m_counters.count("limit_decisions", "waited");
        boost::this_fiber::sleep_until(to_steady(boot_now() + refusal->retry_after));
    }
}

/// Asks the hosts that may count the account in the order that all hosts of the data centre use.
std::variant<instant, limit_refusal> limit_exchange::take_once(const account_id& account) {
    std::vector<host_id> candidates = limiters(account);
    // Hosts without a lease in the store have probably ended. After an outage of the store that may
    // be all hosts, so that they are asked last.
    const host_liveness& liveness = m_sync.records().liveness();
    std::stable_partition(
        candidates.begin(), candidates.end(),
        [&, now = boot_now()](const host_id& host) { return liveness.is_live(host, now); });
    int asked = 0;
    for (const host_id& limiter : candidates) {
        if (limiter == m_fleet.host()) {
            const auto limit = limit_of(account);
            const auto decision =
                limit ? count_here(account, *limit, 1) : account_limiter::decision{1, duration{}};
            if (decision.granted > 0) {
                return boot_now();
            }
            return limit_refusal{decision.retry_after, true};
        }
        if (asked >= max_limiters_asked || !may_ask(limiter)) {
            continue;
        }
        ++asked;
        const auto answer = ask(limiter, account);
        if (answer->is_failed) {
            continue;
        }
        if (answer->refusal) {
            return *answer->refusal;
        }
        return answer->sent;
    }
    m_counters.count("limit_decisions", "no_limiter");
    return limit_refusal{no_limiter_retry, false};
}

bool limit_exchange::may_ask(const host_id& limiter) const {
    const auto silent = m_silent.find(limiter);
    return silent == m_silent.end() || silent->second.since + silent->second.backoff <= boot_now();
}

void limit_exchange::record_answer(const host_id& limiter, bool is_answered) {
    if (is_answered) {
        m_silent.erase(limiter);
        return;
    }
    const auto [found, is_new] = m_silent.try_emplace(limiter, silence{{}, first_backoff});
    found->second.since = boot_now();
    if (!is_new) {
        found->second.backoff = std::min(found->second.backoff * 2, max_backoff);
    }
}

/// The first operation of an account waits here for loans.
account_limiter::decision limit_exchange::count_here(const account_id& account,
                                                     const bucket_limit& limit,
                                                     std::uint32_t wanted) {
    instant& asked_at = m_first_loans[account];
    const instant now = boot_now();
    if (m_limiter.needs_loans(account, now) && asked_at + first_loan_interval <= now) {
        asked_at = now;
        refresh_ownership();
        const auto round = borrow({{account, static_cast<double>(wanted)}});
        const steady_time deadline = to_steady(boot_now() + first_loan_timeout);
        while (round->pending > 0 && m_answered.wait(deadline)) {
        }
    }
    return m_limiter.take(account, limit, wanted, boot_now());
}

limit_exchange::waiting_take_ptr limit_exchange::ask(const host_id& limiter,
                                                     const account_id& account) {
    const auto waiting = std::make_shared<waiting_take>();
    waiting->account = account;
    take_queue& queue = m_queues[limiter];
    queue.waiting.push_back(waiting);
    if (!queue.is_sending) {
        queue.is_sending = true;
        send_queued(limiter);
    }
    while (!waiting->is_done) {
        m_answered.wait(daemon::no_deadline);
    }
    return waiting;
}

/// Operations that arrive while a request is on its way share the next one, so that a host has at
/// most one request to a limiter in progress.
void limit_exchange::send_queued(const host_id& limiter) {
    m_fleet.home().spawn([this, limiter] {
        for (;;) {
            const auto batch = std::exchange(m_queues[limiter].waiting, {});
            if (batch.empty()) {
                m_queues[limiter].is_sending = false;
                return;
            }
            const bool is_answered = send_batch(limiter, batch);
            record_answer(limiter, is_answered);
            for (const waiting_take_ptr& waiting : batch) {
                waiting->is_failed = waiting->is_failed || !is_answered;
                waiting->is_done = true;
            }
            m_answered.notify_all();
        }
    });
}

bool limit_exchange::send_batch(const host_id& limiter,
                                const std::vector<waiting_take_ptr>& batch) {
    const instant sent = boot_now();
    std::map<account_id, std::uint32_t> wanted;
    for (const waiting_take_ptr& waiting : batch) {
        waiting->sent = sent;
        ++wanted[waiting->account];
    }
    std::vector<take_request> rows;
    for (const auto& [account, count] : wanted) {
        rows.push_back({account, count});
    }
    const auto address = address_of(limiter);
    if (!address) {
        return false;
    }
    const std::string body = encode_take_request(rows);
    daemon::http_call call;
    call.address = *address;
    call.target = "/peer/limit/take";
    call.body = body;
    call.deadline = to_steady(sent + take_timeout);
    const auto result = m_pool.call(call);
    const auto* const response = std::get_if<daemon::http_response>(&result);
    const bool ok = response != nullptr && response->status == 200;
    const auto answer = ok ? decode_take_answer(response->body) : std::nullopt;
    m_counters.count("limit_requests", answer ? "answered" : "lost");
    if (answer) {
        apply_answer(*answer, batch);
    }
    return answer.has_value();
}

void limit_exchange::apply_answer(const std::vector<take_answer>& rows,
                                  const std::vector<waiting_take_ptr>& batch) {
    std::map<account_id, account_limiter::decision> decisions;
    for (const take_answer& row : rows) {
        decisions[row.account] = row.decision;
    }
    for (const waiting_take_ptr& waiting : batch) {
        const auto found = decisions.find(waiting->account);
        if (found == decisions.end()) {
            waiting->is_failed = true;
        } else if (found->second.granted > 0) {
            --found->second.granted;
        } else {
            waiting->refusal = limit_refusal{found->second.retry_after, true};
        }
    }
}

std::optional<std::string> limit_exchange::answer_take(std::string_view text) {
    const auto request = decode_take_request(text);
    if (!request) {
        return std::nullopt;
    }
    std::vector<take_answer> answer;
    for (const take_request& row : *request) {
        const auto limit = limit_of(row.account);
        // This host may know a newer configuration, in which the account has no limit.
        const account_limiter::decision decision =
            limit ? count_here(row.account, *limit, row.wanted)
                  : account_limiter::decision{row.wanted, duration{}};
        answer.push_back({row.account, decision});
    }
    return encode_take_answer(answer);
}

std::shared_ptr<limit_exchange::loan_round> limit_exchange::borrow(
    const std::vector<loan_request>& wanted) {
    const auto round = std::make_shared<loan_round>();
    round->sent = boot_now();
    if (wanted.empty()) {
        return round;
    }
    const loans_request request{{m_fleet.host(), m_fleet.data_centre()}, wanted};
    const std::string body = encode_loans_request(request);
    for (const host_placement& owner : owners()) {
        if (owner.host == m_fleet.host()) {
            apply_loans(owner.host, lend(request), round->sent);
            continue;
        }
        ++round->pending;
        m_fleet.home().spawn([this, host = owner.host, body, round] {
            borrow_from(host, body, round);
            --round->pending;
            m_answered.notify_all();
        });
    }
    return round;
}

void limit_exchange::borrow_from(const host_id& owner, const std::string& request,
                                 const std::shared_ptr<loan_round>& round) {
    const auto address = address_of(owner);
    if (!address) {
        return;
    }
    daemon::http_call call;
    call.address = *address;
    call.target = "/peer/limit/loans";
    call.body = request;
    call.deadline = to_steady(round->sent + loan_timeout);
    const auto result = m_pool.call(call);
    const auto* const response = std::get_if<daemon::http_response>(&result);
    const bool ok = response != nullptr && response->status == 200;
    const auto loans = ok ? decode_loans_answer(response->body) : std::nullopt;
    m_counters.count("limit_loans", loans ? "received" : "lost");
    if (loans) {
        apply_loans(owner, *loans, round->sent);
    }
}

void limit_exchange::apply_loans(const host_id& owner, const std::vector<loan_answer>& loans,
                                 instant sent) {
    for (const loan_answer& answer : loans) {
        if (const auto limit = limit_of(answer.account)) {
            m_limiter.on_loan(answer.account, owner, answer.loan, *limit, sent, boot_now());
        }
    }
}

std::vector<loan_answer> limit_exchange::lend(const loans_request& request) {
    refresh_ownership();
    std::vector<loan_answer> answer;
    for (const loan_request& wanted : request.accounts) {
        if (const auto limit = limit_of(wanted.account)) {
            answer.push_back(
                {wanted.account, m_lender.lend(wanted, request.borrower, *limit, boot_now())});
        }
    }
    return answer;
}

std::optional<std::string> limit_exchange::answer_loans(std::string_view text) {
    const auto request = decode_loans_request(text);
    if (!request) {
        return std::nullopt;
    }
    return encode_loans_answer(lend(*request));
}

statement_outcome refuse_for_limit(const account_id& account, const limit_refusal& refusal) {
    const std::string wait_ms = std::to_string(refusal.retry_after.us() / 1000 + 1);
    const std::string why = refusal.is_limit_reached
                                ? "account " + account.str() + " is at its limit"
                                : "no host that counts account " + account.str() + " answers";
    auto outcome =
        make_fault(statement_fault::busy, why + "; not run; retry after " + wait_ms + " ms");
    outcome.retry_after = refusal.retry_after;
    return outcome;
}

instant limit_wait_end(const database_route& route, const forwarded_statement& statement) {
    return statement.arrived +
           std::min(route.latency_goal * wait_in_latency_goal, route.statement_timeout);
}

}  // namespace jasminelead::proxy
