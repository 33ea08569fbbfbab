#include "jasminelead/connection_pool.h"

#include <algorithm>
#include <iterator>

namespace jasminelead {
namespace {

using namespace literals;

constexpr duration peak_window = 30_s;
constexpr duration idle_limit = 30_s;
/// Opening a connection takes about 10 ms, so one is kept in reserve above the peak.
constexpr std::uint32_t spare_connections = 1;

}  // namespace

std::uint32_t connection_pool::missing(std::uint32_t demand, std::uint32_t limit,
                                       instant now) const {
    const std::uint32_t wanted = std::max(target(now), m_in_use + demand);
    const std::uint32_t allowed = std::min(wanted, limit);
    return allowed > size() ? allowed - size() : 0;
}

void connection_pool::add_opening(connection_id id, const account_id& account) {
    m_connections[id].account = account;
    ++m_opening;
}

bool connection_pool::set_open(connection_id id, instant now) {
    pooled_connection* connection = find(id);
    if (connection == nullptr || connection->state != pooled_connection::phase::opening) {
        return false;
    }
    connection->state = pooled_connection::phase::idle;
    connection->idle_since = now;
    --m_opening;
    m_idle.push_back(id);
    return true;
}

std::optional<connection_id> connection_pool::take(const service_id& service, instant now) {
    if (m_idle.empty()) {
        return std::nullopt;
    }
    return use(std::prev(m_idle.end()), service, now);
}

std::optional<connection_id> connection_pool::idle_of_account(const account_id& account) const {
    const auto found = std::find_if(m_idle.rbegin(), m_idle.rend(), [&](const connection_id id) {
        return m_connections.at(id).account == account;
    });
    return found == m_idle.rend() ? std::nullopt : std::optional{*found};
}

std::optional<connection_id> connection_pool::take_of_account(const account_id& account,
                                                              const service_id& service,
                                                              instant now) {
    const auto id = idle_of_account(account);
    if (!id) {
        return std::nullopt;
    }
    return use(std::find(m_idle.begin(), m_idle.end(), *id), service, now);
}

connection_id connection_pool::use(std::vector<connection_id>::iterator at,
                                   const service_id& service, instant now) {
    const connection_id id = *at;
    m_idle.erase(at);
    pooled_connection& connection = m_connections.at(id);
    connection.state = pooled_connection::phase::in_use;
    connection.service = service;
    change_in_use(service, true, now);
    return id;
}

void connection_pool::put_back(connection_id id, instant now) {
    pooled_connection* connection = find(id);
    if (connection == nullptr || connection->state != pooled_connection::phase::in_use) {
        return;
    }
    change_in_use(connection->service, false, now);
    connection->state = pooled_connection::phase::idle;
    connection->service = service_id{};
    connection->transaction = 0;
    connection->call = 0;
    connection->idle_since = now;
    m_idle.push_back(id);
}

std::optional<pooled_connection> connection_pool::remove(connection_id id, instant now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return std::nullopt;
    }
    pooled_connection removed = std::move(found->second);
    m_connections.erase(found);
    if (removed.state == pooled_connection::phase::opening) {
        --m_opening;
    } else if (removed.state == pooled_connection::phase::idle) {
        std::erase(m_idle, id);
    } else {
        change_in_use(removed.service, false, now);
    }
    return removed;
}

std::vector<connection_id> connection_pool::take_surplus(std::uint32_t limit, instant now) {
    std::vector<connection_id> surplus;
    const std::uint32_t wanted = target(now);
    // The front of the list has been idle for the longest time.
    while (!m_idle.empty()) {
        const connection_id id = m_idle.front();
        const bool too_old = m_connections.at(id).idle_since + idle_limit <= now;
        if (size() <= limit && (size() <= wanted || !too_old)) {
            break;
        }
        m_idle.erase(m_idle.begin());
        m_connections.erase(id);
        surplus.push_back(id);
    }
    return surplus;
}

std::vector<connection_id> connection_pool::idle_above(std::uint32_t keep, duration idle_for,
                                                       instant now) const {
    std::vector<connection_id> surplus;
    for (const connection_id id : m_idle) {
        const bool is_recent = m_connections.at(id).idle_since + idle_for > now;
        if (is_recent || size() - surplus.size() <= keep) {
            break;
        }
        surplus.push_back(id);
    }
    return surplus;
}

std::vector<connection_id> connection_pool::take_all() {
    std::vector<connection_id> all;
    for (const auto& [id, connection] : m_connections) {
        all.push_back(id);
    }
    *this = connection_pool{};
    return all;
}

pooled_connection* connection_pool::find(connection_id id) {
    const auto found = m_connections.find(id);
    return found == m_connections.end() ? nullptr : &found->second;
}

std::uint32_t connection_pool::size() const {
    return static_cast<std::uint32_t>(m_connections.size());
}

std::uint32_t connection_pool::count(const account_id& account,
                                     pooled_connection::phase state) const {
    return static_cast<std::uint32_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [&](const auto& item) {
            return item.second.account == account && item.second.state == state;
        }));
}

std::uint32_t connection_pool::opening(const account_id& account) const {
    return count(account, pooled_connection::phase::opening);
}

std::uint32_t connection_pool::idle(const account_id& account) const {
    return count(account, pooled_connection::phase::idle);
}

std::uint32_t connection_pool::in_use(const service_id& service) const {
    const auto found = m_service_use.find(service);
    return found == m_service_use.end() ? 0 : found->second;
}

std::uint32_t connection_pool::target(instant now) const {
    std::uint32_t peak = m_in_use;
    for (const peak_sample& sample : m_peaks) {
        if (sample.until + peak_window > now) {
            peak = std::max(peak, sample.in_use);
        }
    }
    return peak + spare_connections;
}

std::optional<instant> connection_pool::next_surplus(instant now) const {
    if (m_idle.empty() || size() <= spare_connections) {
        return std::nullopt;
    }
    instant next = m_connections.at(m_idle.front()).idle_since + idle_limit;
    // The target falls only when the highest peak leaves the window.
    if (size() > target(now)) {
        return next;
    }
    const auto live =
        std::find_if(m_peaks.begin(), m_peaks.end(),
                     [now](const peak_sample& sample) { return sample.until + peak_window > now; });
    if (live == m_peaks.end()) {
        return std::nullopt;
    }
    return std::max(next, live->until + peak_window);
}

void connection_pool::change_in_use(const service_id& service, bool more, instant now) {
    if (more) {
        ++m_in_use;
        ++m_service_use[service];
        return;
    }
    record_peak(now);
    --m_in_use;
    const auto found = m_service_use.find(service);
    if (--found->second == 0) {
        m_service_use.erase(found);
    }
}

void connection_pool::record_peak(instant now) {
    while (!m_peaks.empty() && m_peaks.front().until + peak_window <= now) {
        m_peaks.pop_front();
    }
    // A lower sample that ended earlier cannot be the peak of a later window.
    while (!m_peaks.empty() && m_peaks.back().in_use <= m_in_use) {
        m_peaks.pop_back();
    }
    m_peaks.push_back({now, m_in_use});
}

}  // namespace jasminelead
