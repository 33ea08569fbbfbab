#include "jasminelead/limit_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <tuple>
#include <utility>

namespace jasminelead {
namespace {

using namespace literals;

constexpr double ms_per_s = 1000;
// A borrower that has not asked for this long gets no part of the next division.
constexpr duration borrower_lifetime = 3_s;
// Operations of small accounts are seconds apart.
constexpr duration demand_lifetime = 10_s;
constexpr duration demand_time_constant = 1_s;
// Added to the demand of each data centre, as a part of the rate. Keeps a share for those without
// demand, so that their first operations need not wait for loans to end.
constexpr double min_weight = 0.2;
constexpr double min_weight_per_s = 0.01;
// Levels are sums of many small numbers.
constexpr double rounding = 1e-9;
constexpr duration min_retry_after = 5_ms;
constexpr duration max_retry_after = 500_ms;
constexpr duration retry_without_share = 100_ms;

double seconds(duration time) {
    return time.ms() / ms_per_s;
}

double base_weight(const bucket_limit& limit) {
    return std::max(limit.per_s * min_weight, min_weight_per_s);
}

}  // namespace

double share_lender::lent_to(const borrower_state& borrower, instant now) {
    double share = 0;
    for (const obligation& loan : borrower.loans) {
        share = loan.until > now ? std::max(share, loan.share) : share;
    }
    return share;
}

double share_lender::total_lent(const account_state& state, instant now) {
    double share = 0;
    for (const auto& [host, borrower] : state.borrowers) {
        share += lent_to(borrower, now);
    }
    return share;
}

/// Loans end at different times, and tokens accrue only for what is not lent.
void share_lender::refill(account_state& state, instant now) const {
    std::set<instant> ends{now};
    for (const auto& [host, borrower] : state.borrowers) {
        for (const obligation& loan : borrower.loans) {
            if (loan.until > state.refilled_at && loan.until < now) {
                ends.insert(loan.until);
            }
        }
    }
    for (const instant end : ends) {
        const double kept = std::max(m_owned - total_lent(state, state.refilled_at), 0.0);
        const double gained = state.limit.per_s * kept * seconds(end - state.refilled_at);
        state.level = std::min(state.level + std::max(gained, 0.0), state.limit.capacity * kept);
        state.refilled_at = std::max(end, state.refilled_at);
    }
    const double kept = std::max(m_owned - total_lent(state, now), 0.0);
    state.level = std::min(state.level, state.limit.capacity * kept);
    for (auto& [host, borrower] : state.borrowers) {
        std::erase_if(borrower.loans, [now](const auto& loan) { return loan.until <= now; });
    }
}

/// An account that was never lent has kept its tokens since the share is owned.
share_lender::account_state& share_lender::state_of(const account_id& account,
                                                    const bucket_limit& limit, instant now) {
    const auto [found, is_new] = m_accounts.try_emplace(account);
    account_state& state = found->second;
    if (is_new) {
        state.refilled_at = m_owned_since;
    }
    state.limit = limit;
    refill(state, now);
    return state;
}

void share_lender::set_owned(double share, instant now) {
    if (share == m_owned) {
        return;
    }
    for (auto& [account, state] : m_accounts) {
        refill(state, now);
    }
    m_owned = share;
    m_owned_since = now;
    for (auto& [account, state] : m_accounts) {
        refill(state, now);
    }
}

double share_lender::weight_of_borrower(const account_state& state, const host_id& borrower,
                                        instant now) const {
    const double base = base_weight(state.limit);
    std::set<data_centre_id> asking;
    double total = 0;
    for (const auto& [host, other] : state.borrowers) {
        if (now - other.asked_at <= borrower_lifetime) {
            total += other.demand_per_s + base;
            asking.insert(other.data_centre);
        }
    }
    const std::size_t silent = m_data_centres - std::min(asking.size(), m_data_centres);
    total += base * static_cast<double>(silent);
    return (state.borrowers.at(borrower).demand_per_s + base) / total;
}

share_loan share_lender::lend(const loan_request& request, const share_borrower& borrower,
                              const bucket_limit& limit, instant now) {
    account_state& state = state_of(request.account, limit, now);
    borrower_state& asking = state.borrowers[borrower.host];
    // Callers that are refused send again: demand beyond the limit says nothing.
    asking.demand_per_s = std::clamp(request.demand_per_s, 0.0, limit.per_s);
    asking.data_centre = borrower.data_centre;
    asking.asked_at = now;
    const double held = lent_to(asking, now);
    const double unlent = std::max(m_owned - total_lent(state, now), 0.0);
    const double target = m_owned * weight_of_borrower(state, borrower.host, now);
    const double granted = std::min(target, held + unlent);
    const double added = std::max(granted - held, 0.0);
    const double tokens = unlent > 0 ? state.level * std::min(added / unlent, 1.0) : 0;
    state.level -= tokens;
    asking.loans.push_back({granted, now + share_loan_length + share_loan_margin});
    return {granted, tokens};
}

void share_lender::prune(instant now) {
    for (auto& [account, state] : m_accounts) {
        refill(state, now);
        std::erase_if(state.borrowers, [now](const auto& entry) {
            return entry.second.loans.empty() && now - entry.second.asked_at > borrower_lifetime;
        });
    }
    std::erase_if(m_accounts, [this](const auto& item) {
        const account_state& state = item.second;
        return state.borrowers.empty() && state.level >= state.limit.capacity * m_owned - rounding;
    });
}

double share_lender::lent(const account_id& account, instant now) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : total_lent(found->second, now);
}

double share_lender::tokens(const account_id& account) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : found->second.level;
}

double account_limiter::share_of(const account_state& state, instant now) {
    double share = 0;
    for (const auto& [lender, loan] : state.loans) {
        share += loan.until > now ? loan.share : 0;
    }
    return share;
}

/// Adds the tokens of each loan up to its end, and drops what the remaining shares cannot hold.
void account_limiter::settle(account_state& state, const bucket_limit& limit, instant now) {
    for (const auto& [lender, loan] : state.loans) {
        const duration used = std::min(loan.until, now) - state.settled_at;
        state.level += limit.per_s * loan.share * std::max(seconds(used), 0.0);
    }
    std::erase_if(state.loans, [now](const auto& item) { return item.second.until <= now; });
    state.level = std::min(state.level, limit.capacity * share_of(state, now));
    state.settled_at = now;
}

void account_limiter::record_demand(account_state& state, std::uint32_t wanted, instant now) {
    const double passed = seconds(now - state.demand_at) / seconds(demand_time_constant);
    state.demand_per_s = state.demand_per_s * std::exp(-std::max(passed, 0.0)) +
                         wanted / seconds(demand_time_constant);
    state.demand_at = now;
    state.asked_at = now;
}

void account_limiter::on_loan(const account_id& account, const host_id& lender,
                              const share_loan& loan, const bucket_limit& limit, instant sent,
                              instant now) {
    account_state& state = m_accounts[account];
    settle(state, limit, now);
    const auto known = state.loans.find(lender);
    const instant until = sent + share_loan_length;
    if (until <= now || (known != state.loans.end() && known->second.sent >= sent)) {
        return;
    }
    state.loans[lender] = {loan.share, until, sent};
    state.level = std::min(state.level + loan.tokens, limit.capacity * share_of(state, now));
}

account_limiter::decision account_limiter::take(const account_id& account,
                                                const bucket_limit& limit, std::uint32_t wanted,
                                                instant now) {
    account_state& state = m_accounts[account];
    record_demand(state, wanted, now);
    settle(state, limit, now);
    const auto available = static_cast<std::uint32_t>(std::max(state.level + rounding, 0.0));
    decision result;
    result.granted = std::min(wanted, available);
    state.level -= result.granted;
    if (result.granted == wanted) {
        return result;
    }
    const double rate = limit.per_s * share_of(state, now);
    const duration next =
        rate > 0
            ? duration::from_ms(std::min((1 - state.level) / rate * ms_per_s, max_retry_after.ms()))
            : retry_without_share;
    result.retry_after = std::max(next, min_retry_after);
    return result;
}

bool account_limiter::needs_loans(const account_id& account, instant now) const {
    return share(account, now) <= 0;
}

std::vector<loan_request> account_limiter::wanted_loans(instant now) const {
    std::vector<loan_request> wanted;
    for (const auto& [account, state] : m_accounts) {
        if (now - state.asked_at <= demand_lifetime) {
            const double passed = seconds(now - state.demand_at) / seconds(demand_time_constant);
            wanted.push_back({account, state.demand_per_s * std::exp(-std::max(passed, 0.0))});
        }
    }
    return wanted;
}

void account_limiter::prune(instant now) {
    std::erase_if(m_accounts, [now](const auto& item) {
        return now - item.second.asked_at > demand_lifetime && share_of(item.second, now) <= 0;
    });
}

double account_limiter::share(const account_id& account, instant now) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : share_of(found->second, now);
}

double account_limiter::tokens(const account_id& account) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : found->second.level;
}

namespace {

// Until a loan that was given in the last moment has ended, also by the clock of its lender.
constexpr duration loans_end = share_loan_length + share_loan_margin;
// Until an owner that does not know that it was replaced has stopped, and its loans have ended.
constexpr duration former_owners_end = max_time_on_grants + loans_end;

}  // namespace

/// A member of the previous set, too, keeps its share: sets change at most every
/// `max_time_on_grants`, so that nobody else has it. After a start it waits for the loans that its
/// earlier process may have given. With an earlier era a start cannot know which sets were lost.
void share_ownership::update(const granter_set& granters, store_era era, instant now) {
    if (m_has_known && granters.revision == m_known.revision) {
        return;
    }
    const bool is_first = !m_has_known;
    const bool was_owner = m_is_owner;
    const bool is_new_era = m_has_known && era_of(m_known.revision) != era_of(granters.revision);
    const bool may_have_lost_sets = (is_first && era > 0) || (is_new_era && !was_owner);
    const bool is_first_set = granters.previous.empty() && is_first;
    const bool was_member = granters.previous.contains(m_self) || is_first_set ||
                            (was_owner && is_new_era && m_known.members == granters.members);
    m_is_owner = granters.members.contains(m_self);
    if (m_is_owner && (!was_member || may_have_lost_sets)) {
        m_usable_from = now + former_owners_end;
    } else if (m_is_owner && !was_owner) {
        m_usable_from = now + loans_end;
    }
    const std::size_t known_size = m_known.members.size();
    const std::size_t earlier = std::max(
        {known_size, granters.previous.size(), now < m_earlier_until ? m_earlier_size : 0});
    m_earlier_size = earlier;
    m_earlier_until = now + former_owners_end;
    m_known = granters;
    m_has_known = true;
}

/// The bound on `record_age` lets new owners know when the former ones have stopped.
double share_ownership::share(duration record_age, instant now) const {
    if (!m_is_owner || now < m_usable_from || record_age >= max_time_on_grants) {
        return 0;
    }
    const std::size_t earlier = now < m_earlier_until ? m_earlier_size : 0;
    return 1.0 / static_cast<double>(std::max({m_known.members.size(), earlier, std::size_t{1}}));
}

std::vector<host_id> order_limiters(const account_id& account,
                                    std::span<const host_placement> owners,
                                    const data_centre_id& data_centre) {
    // Weighted rendezvous hashing: the first is host h with a probability in proportion to its
    // processor share.
    const auto rank = [&](const host_placement& owner) {
        const std::string key = account.str() + "/" + owner.host.str();
        const double hash = static_cast<double>(XXH64(key.data(), key.size(), 0) >> 11U);
        constexpr double hash_range = 9007199254740992.0;
        const double uniform = (hash + 0.5) / hash_range;
        const double cost = -std::log(uniform) / std::max(owner.cpu_share, rounding);
        return std::tuple{owner.data_centre != data_centre, cost, owner.host};
    };
    std::vector<host_placement> ordered{owners.begin(), owners.end()};
    std::sort(ordered.begin(), ordered.end(),
              [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    std::vector<host_id> hosts;
    hosts.reserve(ordered.size());
    for (const host_placement& owner : ordered) {
        hosts.push_back(owner.host);
    }
    return hosts;
}

}  // namespace jasminelead
