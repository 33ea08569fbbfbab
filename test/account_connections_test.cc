#include "jasminelead/account_connections.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const instant start = instant::from_ms(100'000);
const account_id large{"large"};
const account_id small{"small"};
const account_id rare{"rare"};

/// Requests in the last seconds, evenly spread.
void send(account_connections& accounts, const account_id& account, int requests, instant now) {
    for (int i = 0; i < requests; ++i) {
        accounts.on_request(account, now - 2_s * (static_cast<double>(requests - i) / requests));
    }
}

/// Which connections a load closes and opens while a host may keep `limit` of them.
class replayed_load {
public:
    replayed_load(std::uint32_t limit, bool evicts_oldest)
        : m_limit{limit}, m_evicts_oldest{evicts_oldest} {}

    /// A short statement of the account: it uses an idle connection, or opens one if it may.
    void run(const account_id& account, instant now) {
        m_accounts.on_request(account, now);
        const auto own = std::find_if(m_idle.begin(), m_idle.end(),
                                      [&](const auto& item) { return item.account == account; });
        if (own != m_idle.end()) {
            idle_connection used = *own;
            used.idle_since = now;
            m_idle.erase(own);
            m_idle.push_back(used);
            return;
        }
        if (m_idle.size() >= m_limit && !close_one_for(account, now)) {
            return;
        }
        ++m_opened[account];
        m_accounts.on_opened(account);
        m_idle.push_back({m_next_id++, account, now});
    }
    /// As many statements at once, each on its own connection.
    void burst(const account_id& account, int statements, instant now) {
        for (int i = 0; i < statements; ++i) {
            m_accounts.on_request(account, now);
            if (m_idle.size() < m_limit || close_one_for(account, now)) {
                ++m_opened[account];
                m_accounts.on_opened(account);
                m_idle.push_back({m_next_id++, account, now});
            }
        }
    }
    [[nodiscard]] int opened_by_others_than(const account_id& account) const {
        int count = 0;
        for (const auto& [id, opened] : m_opened) {
            count += id == account ? 0 : opened;
        }
        return count;
    }

private:
    bool close_one_for(const account_id& account, instant now) {
        const std::vector<idle_connection> idle{m_idle.begin(), m_idle.end()};
        const auto closed = m_evicts_oldest
                                ? std::optional{idle.front().id}
                                : m_accounts.choose_evicted(account, idle, m_limit, now);
        if (!closed) {
            return false;
        }
        const auto found = std::find_if(m_idle.begin(), m_idle.end(),
                                        [&](const auto& item) { return item.id == *closed; });
        m_accounts.on_closed(found->account);
        m_idle.erase(found);
        return true;
    }

    std::uint32_t m_limit;
    bool m_evicts_oldest;
    account_connections m_accounts;
    std::deque<idle_connection> m_idle;  ///< The longest idle first.
    std::map<account_id, int> m_opened;
    connection_id m_next_id = 1;
};

/// Connections that ten steady accounts open in 20 s, while another account bursts each second.
int opened_during_bursts(bool evicts_oldest) {
    constexpr std::uint32_t limit = 12;
    constexpr int steady_accounts = 10;
    constexpr int burst_statements = 30;
    replayed_load load{limit, evicts_oldest};
    std::mt19937 random{7};
    const account_id bursting{"bursting"};
    for (int ms = 0; ms < 20'000; ms += 10) {
        const instant now = start + 1_ms * static_cast<double>(ms);
        load.run(account_id{"steady-" + std::to_string(random() % steady_accounts)}, now);
        if (ms % 1000 == 500) {
            load.burst(bursting, burst_statements, now);
        }
    }
    return load.opened_by_others_than(bursting);
}

}  // namespace

TEST_CASE("the connection that is least likely to be used again makes room") {
    account_connections accounts;
    send(accounts, large, 50, start);
    send(accounts, small, 5, start);
    for (const account_id& account : {large, small}) {
        accounts.on_opened(account);
    }
    const std::vector<idle_connection> idle{{1, small, start}, {2, large, start - 1_s}};
    CHECK(accounts.choose_evicted(rare, idle, 2, start) == 1);
}

TEST_CASE("among equally used connections the one that was idle for longest makes room") {
    account_connections accounts;
    const std::vector<idle_connection> idle{
        {1, small, start}, {2, large, start - 1_s}, {3, rare, start - 500_ms}};
    CHECK(accounts.choose_evicted(account_id{"new"}, idle, 3, start) == 2);
}

TEST_CASE("an account never makes room for itself, and none is closed when none is idle") {
    account_connections accounts;
    const std::vector<idle_connection> own{{1, large, start - 60_s}};
    CHECK_FALSE(accounts.choose_evicted(large, own, 1, start));
    CHECK_FALSE(accounts.choose_evicted(large, {}, 1, start));
}

// Guards against one account that takes all connections: it gets half at most, and beyond that only
// those that nobody uses.
TEST_CASE("an account above its entitlement takes unused connections only") {
    account_connections accounts;
    send(accounts, large, 90, start);
    send(accounts, small, 1, start);
    for (int i = 0; i < 4; ++i) {
        accounts.on_opened(large);
    }
    CHECK(accounts.entitled(large, 8, start) == 4);
    CHECK(accounts.entitled(small, 8, start) == 1);
    const std::vector<idle_connection> recent{{7, small, start - 100_ms}};
    CHECK_FALSE(accounts.choose_evicted(large, recent, 8, start));
    const std::vector<idle_connection> unused{
        {8, small, start - account_connections::reuse_horizon}};
    CHECK(accounts.choose_evicted(large, unused, 8, start) == 8);
}

// Guards against an account that has no connection and never gets one.
TEST_CASE("an account without connections may always take one") {
    account_connections accounts;
    send(accounts, large, 90, start);
    accounts.on_opened(large);
    const std::vector<idle_connection> idle{{1, large, start}};
    CHECK(accounts.choose_evicted(rare, idle, 1, start) == 1);
}

// Guards against a storm of new connections: the burst of one account closes those of all others,
// which then reopen them while the endpoint is busy. Evicting the longest idle one does that.
TEST_CASE("bursts of one account leave the connections of steady accounts open") {
    const int opened = opened_during_bursts(false);
    CHECK(opened < 3 * 10);
    CHECK(opened_during_bursts(true) > 5 * opened);
}

// Guards against memory that grows with every account that was ever seen.
TEST_CASE("accounts without connections are forgotten when they send nothing") {
    account_connections accounts;
    for (int i = 0; i < 1000; ++i) {
        accounts.on_request(account_id{"a" + std::to_string(i)}, start);
    }
    accounts.on_opened(large);
    accounts.forget_inactive(start + 60_s);
    CHECK(accounts.known_accounts() == 1);
}
