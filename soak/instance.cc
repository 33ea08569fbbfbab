#include "soak/instance.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/json.hpp>
#include <thread>
#include <utility>

#include "soak/clock.h"

namespace jasminelead::soak {
namespace {

namespace json = boost::json;

constexpr double heartbeat_ms = 1200;
// The entry is removed after three intervals of silence.
constexpr int silent_beats = 3;
// An old primary continues for this time after it reaches the new one.
constexpr double step_down_ms = 1000;

}  // namespace

instance::instance(service& owner, store& keys, std::string id, std::string zone,
                   std::uint16_t port)
    : m_service{owner},
      m_store{keys},
      m_id{std::move(id)},
      m_zone{std::move(zone)},
      m_born{unix_ms()},
      m_random{static_cast<unsigned>(m_id.size())},
      m_listener{[this](int fd) { serve(fd, ""); }, port} {
    std::thread{[this] { beat(); }}.detach();
}

void instance::crash() {
    const std::lock_guard lock{m_service.lock};
    if (m_crashed) {
        return;
    }
    m_crashed = true;
    ++m_life;
    note("crash " + m_id);
    m_listener.stop();
    for (const auto& [host, at] : m_host_listeners) {
        at->stop();
    }
    for (const int fd : m_connections) {
        ::shutdown(fd, SHUT_RDWR);
    }
    m_free_slot.notify_all();
    m_service.received.notify_all();
}

void instance::restart() {
    {
        const std::lock_guard lock{m_service.lock};
        if (!m_crashed || m_has_left) {
            return;
        }
        set_role(is_primary && m_term == m_service.newest_term);
        m_is_paused = false;
        m_seq = 0;
        m_born = unix_ms();
        note("restart " + m_id + (is_primary ? " primary" : " replica"));
    }
    m_listener.resume();
    for (const auto& [host, at] : m_host_listeners) {
        at->resume();
    }
    m_crashed = false;
    report();
}

bool instance::leave() {
    crash();
    const std::lock_guard lock{m_service.lock};
    return !std::exchange(m_has_left, true);
}

void instance::change(const std::function<void()>& edit) {
    {
        const std::lock_guard lock{m_service.lock};
        edit();
    }
    report();
}

void instance::preload(std::size_t commits) {
    for (std::size_t i = 1; i <= commits; ++i) {
        append({{m_term, i}, "preload-" + std::to_string(i), {{"seed", std::to_string(i)}}}, 0);
        m_service.add_to_history(m_log.back(), i == 1 ? log_point{} : log_point{m_term, i - 1});
    }
}

void instance::become_primary() {
    m_service.newest_term += 1;
    m_term = m_service.newest_term;
    set_role(true);
    m_apply_at.assign(m_log.size(), 0);
    m_is_paused = false;
    note("promoted " + m_id + " term " + std::to_string(m_term) + " log end " +
         last_point().text());
    if (m_service.on_promoted) {
        m_service.on_promoted(*this);
    }
    for (const auto& other : m_service.instances) {
        other->m_is_paused = false;
        if (other.get() != this && !other->is_primary && reaches(*other)) {
            other->follow(*this);
        }
    }
}

std::uint16_t instance::add_caller(const std::string& host) {
    auto& added = m_host_listeners[host];
    if (added == nullptr) {
        added = std::make_unique<listener>([this, host](int fd) { serve(fd, host); });
    }
    return added->port();
}

void instance::take_over(const instance& ended) {
    for (const auto& [host, at] : ended.m_host_listeners) {
        m_host_listeners[host] = std::make_unique<listener>(
            [this, name = host](int fd) { serve(fd, name); }, at->port());
    }
    m_log = ended.m_log;
    m_apply_at.assign(m_log.size(), 0);
    m_term = ended.m_term;
    set_role(ended.is_primary && ended.m_term == m_service.newest_term);
}

log_point instance::last_point() const {
    return m_log.empty() ? log_point{m_term, 0} : m_log.back().point;
}

void instance::append(const commit& added, double apply_at) {
    const double before = m_apply_at.empty() ? 0 : m_apply_at.back();
    m_log.push_back(added);
    m_apply_at.push_back(std::max(before, apply_at));
}

std::size_t instance::applied() const {
    if (is_primary) {
        return m_log.size();
    }
    return static_cast<std::size_t>(
        std::upper_bound(m_apply_at.begin(), m_apply_at.end(), now_ms()) - m_apply_at.begin());
}

log_point instance::point() const {
    const std::size_t count = applied();
    return count == 0 ? log_point{m_term, 0} : m_log[count - 1].point;
}

bool instance::has(const log_point& required) const {
    const std::size_t count = applied();
    return required.number <= count &&
           (required.number == 0 || m_log[required.number - 1].point == required);
}

bool instance::reaches(const instance& other) const {
    return !m_crashed && !other.m_crashed && !is_cut_off && !other.is_cut_off;
}

void instance::follow(const instance& primary) {
    if (m_crashed || is_deaf || m_is_paused) {
        return;
    }
    std::size_t common = std::min(m_log.size(), primary.m_log.size());
    while (common > 0 && m_log[common - 1].point != primary.m_log[common - 1].point) {
        --common;
    }
    m_log.resize(common);
    m_apply_at.resize(common);
    const double apply_at = now_ms() + lag_ms;
    while (m_log.size() < primary.m_log.size()) {
        append(primary.m_log[m_log.size()], apply_at);
    }
    m_term = primary.m_term;
}

void instance::set_role(bool primary) {
    is_primary = primary;
    m_roles.emplace_back(now_ms(), primary);
}

bool instance::listed_role() const {
    const double shown_at = now_ms() - m_service.role_lag_ms;
    for (auto change = m_roles.rbegin(); change != m_roles.rend(); ++change) {
        if (change->first <= shown_at) {
            return change->second;
        }
    }
    return m_roles.empty() ? is_primary : !m_roles.front().second;
}

bool instance::keep_in_touch() {
    if (m_crashed) {
        return false;
    }
    const double now = now_ms();
    const instance* const leader = m_service.leader;
    const bool is_replaced = is_primary && m_term < m_service.newest_term;
    if (!is_replaced || leader == nullptr || !reaches(*leader)) {
        m_reaches_leader_since = -1;
    } else if (m_reaches_leader_since < 0) {
        m_reaches_leader_since = now;
    } else if (now - m_reaches_leader_since >= step_down_ms) {
        note("old primary steps down " + m_id);
        set_role(false);
    }
    if (!is_primary) {
        const instance* upstream = nullptr;
        for (const auto& other : m_service.instances) {
            if (other.get() != this && other->is_primary && other->m_term >= m_term &&
                reaches(*other) && (upstream == nullptr || other->m_term > upstream->m_term)) {
                upstream = other.get();
            }
        }
        if (upstream != nullptr) {
            follow(*upstream);
        }
    }
    return listed_role() != m_reported_role;
}

void instance::report() {
    const std::lock_guard in_turn{m_report_lock};
    std::string key;
    json::object entry;
    std::string unchanged;
    {
        const std::lock_guard lock{m_service.lock};
        if (m_crashed) {
            return;
        }
        m_reported_role = listed_role();
        key = "servers/" + m_id;
        entry = {{"service", m_service.name},
                 {"addr", address_of(port())},
                 {"zone", m_zone},
                 {"version", "v1"},
                 {"slots", slots},
                 {"state", is_draining ? "draining" : "ready"},
                 {"coldLeftMs", 0},
                 {"dbRole", m_reported_role ? "primary" : "replica"},
                 {"born", m_born.load()}};
        unchanged = json::serialize(entry);
        entry["seq"] = ++m_seq;
    }
    // The entry changes only when more than `seq` does.
    if (unchanged == m_reported && m_store.value(key)) {
        return;
    }
    m_reported = m_store.put(key, json::serialize(entry)) ? unchanged : "";
}

void instance::beat() {
    int missed = 0;
    for (;;) {
        if (!m_crashed) {
            missed = 0;
            report();
        } else if (++missed == silent_beats + 1) {
            note("entry of " + m_id + " is removed");
            m_store.remove("servers/" + m_id);
        }
        sleep_ms(heartbeat_ms);
    }
}

}  // namespace jasminelead::soak
