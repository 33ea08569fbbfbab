#include "jasminelead/account_connections.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jasminelead {
namespace {

using namespace literals;

// Requests count for about this long: longer than the pauses inside a transaction, shorter than a
// change of load that the connections should follow.
constexpr duration memory = 4_s;
// Requests that come closer together are served by several connections, or one after the other.
constexpr duration same_burst = 20_ms;
// Below this an account has sent nothing for about five times `memory`.
constexpr double negligible_requests = 0.01;
// The rest of the connections is left for all other accounts together.
constexpr std::uint32_t max_share_divisor = 2;

}  // namespace

double account_connections::recent_requests(const account_use& use, instant now) {
    const double elapsed = static_cast<double>((now - use.updated).us());
    return use.requests * std::exp(-elapsed / static_cast<double>(memory.us()));
}

double account_connections::recent_requests(const account_id& account, instant now) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : recent_requests(found->second, now);
}

void account_connections::on_request(const account_id& account, instant now) {
    account_use& use = m_accounts[account];
    if (use.requests > 0 && now - use.updated < same_burst) {
        return;
    }
    use.requests = recent_requests(use, now) + 1;
    use.updated = now;
}

void account_connections::on_closed(const account_id& account) {
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end() && found->second.connections > 0) {
        --found->second.connections;
    }
}

std::uint32_t account_connections::count(const account_id& account) const {
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 0 : found->second.connections;
}

std::uint32_t account_connections::entitled(const account_id& account, std::uint32_t limit,
                                            instant now) const {
    double total = 0;
    for (const auto& [id, use] : m_accounts) {
        total += recent_requests(use, now);
    }
    const double share = total > 0 ? recent_requests(account, now) / total : 0;
    const auto wanted = static_cast<std::uint32_t>(std::ceil(share * limit));
    return std::clamp<std::uint32_t>(wanted, 1, std::max(limit / max_share_divisor, 1U));
}

double account_connections::requests_per_connection(const account_id& account, instant now) const {
    return recent_requests(account, now) / std::max<double>(count(account), 1);
}

std::optional<connection_id> account_connections::choose_evicted(
    const account_id& account, std::span<const idle_connection> idle, std::uint32_t limit,
    instant now) const {
    const bool below_entitlement = count(account) < entitled(account, limit, now);
    std::optional<connection_id> chosen;
    std::tuple<double, instant> lowest;
    for (const idle_connection& candidate : idle) {
        const bool is_spare = candidate.idle_since + reuse_horizon <= now;
        if (candidate.account == account || (!below_entitlement && !is_spare)) {
            continue;
        }
        const std::tuple value{requests_per_connection(candidate.account, now),
                               candidate.idle_since};
        if (!chosen || value < lowest) {
            chosen = candidate.id;
            lowest = value;
        }
    }
    return chosen;
}

void account_connections::forget_inactive(instant now) {
    std::erase_if(m_accounts, [now](const auto& item) {
        return item.second.connections == 0 &&
               recent_requests(item.second, now) < negligible_requests;
    });
}

}  // namespace jasminelead
