#include "soak/fault_player.h"

#include <signal.h>

#include <algorithm>
#include <list>
#include <random>

#include "soak/clock.h"
#include "soak/instance.h"

namespace jasminelead::soak {
namespace {

using enum fault_kind;

constexpr double usual_lag_ms = 60;
constexpr double replacement_gap_ms = 300;
// For how long the store is away before it comes back from a copy.
constexpr double restored_store_away_ms = 500;
constexpr double first_reload_ms = 1000;
// A condition of many links takes effect one link after the other.
constexpr double link_change_ms = 50;
// A connection that has gone silent is in use for at most about this time.
constexpr double stale_connection_ms = 3000;
const link_condition both_ways_cut = [] {
    link_condition result;
    result.silent_to_target = true;
    result.silent_to_caller = true;
    return result;
}();
constexpr std::array<store_mode, 4> refusals{store_mode::busy, store_mode::silent,
                                             store_mode::resets, store_mode::limited};

std::string name_of(const planned_fault& fault) {
    return std::string{to_string(fault.kind)};
}

}  // namespace

fault_player::fault_player(deployment& all, workload& clients, disturbance_log& disturbances,
                           double usual_work_ms)
    : m_all{all}, m_clients{clients}, m_disturbances{disturbances}, m_usual_work_ms{usual_work_ms} {
    for (const daemon_process& item : all.daemons) {
        m_hosts[item.host];
    }
}

void fault_player::play(const std::vector<planned_fault>& plan) {
    const double start = now_ms();
    std::list<std::thread> running;
    for (const planned_fault& fault : plan) {
        sleep_ms(start + fault.at_ms - now_ms());
        running.emplace_back([this, &fault] { play_one(fault); });
    }
    for (std::thread& item : running) {
        item.join();
    }
}

fault_player::target fault_player::choose(const planned_fault& fault) {
    target result;
    std::mt19937 random{fault.target};
    result.group = m_all.services[random() % m_all.services.size()].get();
    result.host = &m_all.daemons[random() % m_all.daemons.size()];
    const std::lock_guard lock{result.group->lock};
    instance* const primary = result.group->leader;
    std::vector<instance*> others;
    for (const auto& item : result.group->instances) {
        if (item->is_running() && item.get() != primary) {
            others.push_back(item.get());
        }
    }
    if (fault.instance == instance_choice::any) {
        others.push_back(primary);
    }
    const bool is_primary = fault.instance == instance_choice::primary || others.empty();
    result.item = is_primary ? primary : others[random() % others.size()];
    return result;
}

void fault_player::play_one(const planned_fault& fault) {
    const target at = choose(fault);
    note("fault " + name_of(fault) + " for " + std::to_string(fault.length_ms) + " ms, value " +
         std::to_string(fault.value) + ", instance " + at.item->id() + ", host " + at.host->host);
    if (fault.kind <= list_late) {
        play_platform(fault, at);
    } else if (fault.kind <= key_removed) {
        play_store(fault, at);
    } else if (fault.kind <= answers_lost) {
        play_instance(fault, at);
    } else if (fault.kind <= data_centre_cut) {
        play_links(fault, at);
    } else {
        play_host(fault, at);
    }
    note("end of fault " + name_of(fault));
}

template <class Set>
void fault_player::hold(const planned_fault& fault, const std::string& name, Set set) {
    const std::string key = name_of(fault) + "/" + name;
    {
        const std::lock_guard lock{m_lock};
        ++m_holders[key];
        set(true);
    }
    sleep_ms(fault.length_ms);
    const std::lock_guard lock{m_lock};
    if (--m_holders[key] == 0) {
        set(false);
    }
}

void fault_player::change_promotions(double promotion_trouble::*member, double value) {
    m_promotions.*member = value;
    m_all.promotions.set_trouble(m_promotions);
}

void fault_player::change_store(double store_trouble::*member, double value) {
    m_store.*member = value;
    m_all.keys.set_trouble(m_store);
}

void fault_player::play_platform(const planned_fault& fault, const target& at) {
    const auto hold_member = [&](double promotion_trouble::*member) {
        hold(fault, "", [&](bool is_on) { change_promotions(member, is_on ? fault.value : 0); });
    };
    switch (fault.kind) {
        case promotion_answers_late:
            return hold_member(&promotion_trouble::answer_ms);
        case promotion_effects_late:
            return hold_member(&promotion_trouble::effect_ms);
        case promotion_unanswered:
            return hold_member(&promotion_trouble::unanswered_share);
        case promotion_refused:
            return hold_member(&promotion_trouble::refused_share);
        case promotion_cut:
            m_disturbances.add(
                {at.host->host, promotion_target, now_ms(), now_ms() + fault.length_ms});
            return hold(fault, at.host->host,
                        [&](bool is_on) { m_all.promotions.set_cut(at.host->host, is_on); });
        default:
            return hold(fault, at.group->name, [&](bool is_on) {
                const std::lock_guard lock{at.group->lock};
                at.group->role_lag_ms = is_on ? fault.value : 0;
            });
    }
}

void fault_player::play_store(const planned_fault& fault, const target& at) {
    const auto hold_member = [&](double store_trouble::*member) {
        hold(fault, "", [&](bool is_on) { change_store(member, is_on ? fault.value : 0); });
    };
    const store_mode refusal = refusals[fault.target / 7 % refusals.size()];
    switch (fault.kind) {
        case store_down:
            return hold(fault, "", [&](bool is_on) {
                m_store.ends_leases = fault.target % 2 == 0;
                m_all.keys.set_trouble(m_store);
                m_all.keys.set_modes(is_on ? refusal : store_mode::serves);
            });
        case store_refuses_host:
            return hold(fault, at.host->host, [&](bool is_on) {
                m_all.keys.set_mode(at.host->store_caller, is_on ? refusal : store_mode::serves);
            });
        case store_slow:
            return hold_member(&store_trouble::delay_ms);
        case store_answers_lost:
            return hold_member(&store_trouble::lost_share);
        case store_calls_late:
            return hold_member(&store_trouble::late_share);
        case store_forgets:
            return m_all.keys.forget_history();
        case store_restored:
            return restore_store(fault);
        default:
            return m_all.put_config(fault.target);
        case key_removed:
            return m_all.replace_key(fault.target);
    }
}

void fault_player::restore_store(const planned_fault& fault) {
    const std::lock_guard in_turn{m_restore_lock};
    m_all.keys.keep_copy();
    sleep_ms(std::max(fault.length_ms - restored_store_away_ms, 0.0));
    m_all.keys.set_modes(store_mode::resets);
    sleep_ms(restored_store_away_ms);
    m_all.keys.restore_copy();
    m_all.keys.set_modes(store_mode::serves);
}

void fault_player::play_instance(const planned_fault& fault, const target& at) {
    const auto hold_setting = [&](auto set) {
        hold(fault, at.item->id(),
             [&](bool is_on) { at.item->change([&] { set(*at.item, is_on); }); });
    };
    switch (fault.kind) {
        case fault_kind::drain:
            return replace(fault, *at.group, *at.item);
        case drain_called_off:
            return hold_setting([](instance& item, bool is_on) { item.is_draining = is_on; });
        case fault_kind::crash:
            // An instance starts once when crashes of it overlap: a second start would wait for the
            // port of the first.
            return hold(fault, at.item->id(),
                        [&](bool is_on) { is_on ? at.item->crash() : at.item->restart(); });
        case cut_off:
        case cut_from_hosts:
        case isolate:
            return cut(fault, at);
        case deaf:
            return hold_setting([](instance& item, bool is_on) { item.is_deaf = is_on; });
        case lagging:
            return hold_setting([&](instance& item, bool is_on) {
                item.lag_ms = is_on ? fault.value : usual_lag_ms;
            });
        case slow:
            return hold_setting([&](instance& item, bool is_on) {
                item.work_ms = is_on ? fault.value : m_usual_work_ms;
            });
        default:
            return hold_setting(
                [&](instance& item, bool is_on) { item.lost_share = is_on ? fault.value : 0; });
    }
}

void fault_player::cut(const planned_fault& fault, const target& at) {
    if (fault.kind == cut_from_hosts) {
        return cut_hosts(fault, at, fault.value, fault.length_ms);
    }
    // Both begin at once, so that the instance makes no commit that its replicas lack.
    std::thread hosts{[&] {
        if (fault.kind == isolate) {
            cut_hosts(fault, at, 1, fault.length_ms * fault.value);
        }
    }};
    hold(fault, at.item->id(), [&](bool is_on) {
        const std::lock_guard lock{at.group->lock};
        at.item->is_cut_off = is_on;
    });
    hosts.join();
}

void fault_player::cut_hosts(const planned_fault& fault, const target& at, double share,
                             double length_ms) {
    std::mt19937 random{fault.target + 1};
    std::vector<host_links::link> chosen;
    for (const daemon_process& daemon : m_all.daemons) {
        if (std::uniform_real_distribution<>{0, 1}(random) < share) {
            chosen.emplace_back(daemon.host, instance_target(at.item->port()));
        }
    }
    hold_links(chosen, both_ways_cut, length_ms);
}

void fault_player::hold_links(const std::vector<host_links::link>& chosen,
                              const link_condition& condition, double length_ms) {
    const double from = now_ms();
    for (const host_links::link& link : chosen) {
        m_all.links.disturb(link, condition);
        note_disturbance(link, from, from + length_ms + link_change_ms);
    }
    sleep_ms(length_ms);
    for (const host_links::link& link : chosen) {
        m_all.links.mend(link, condition);
    }
}

void fault_player::note_disturbance(const host_links::link& link, double from, double to) {
    m_disturbances.add({link.first, link.second, from, to});
    if (m_hosts.contains(link.second)) {
        m_disturbances.add({link.second, link.first, from, to});
    }
}

/// One link of a host for faults of links; else all that leave the host or the data centre.
std::vector<host_links::link> fault_player::choose_links(const planned_fault& fault,
                                                         const target& at) const {
    const std::string& host = at.host->host;
    if (fault.kind == host_cut) {
        return m_all.links.select(
            [&](const auto& link) { return link.first == host || link.second == host; });
    }
    std::map<std::string, std::string> zones;
    for (const daemon_process& item : m_all.daemons) {
        zones[item.host] = item.zone;
    }
    for (const auto& group : m_all.services) {
        const std::lock_guard lock{group->lock};
        for (const auto& item : group->instances) {
            zones[instance_target(item->port())] = item->zone();
        }
    }
    const auto is_inside = [&](const std::string& name) {
        const auto found = zones.find(name);
        return found != zones.end() && found->second == at.host->zone;
    };
    if (fault.kind == data_centre_cut) {
        return m_all.links.select(
            [&](const auto& link) { return is_inside(link.first) != is_inside(link.second); });
    }
    auto own = m_all.links.select([&](const auto& link) { return link.first == host; });
    std::mt19937 random{fault.target + 1};
    return {own[random() % own.size()]};
}

void fault_player::play_links(const planned_fault& fault, const target& at) {
    const auto chosen = choose_links(fault, at);
    note("fault " + name_of(fault) + " of " + chosen.front().first + " to " +
         chosen.front().second + " and " + std::to_string(chosen.size() - 1) + " other links");
    link_condition condition;
    switch (fault.kind) {
        case link_cut_one_way:
            condition.silent_to_target = fault.target % 2 == 0;
            condition.silent_to_caller = fault.target % 2 == 1;
            return hold_links(chosen, condition, fault.length_ms);
        case link_slow:
            condition.delay_to_target = duration::from_ms(fault.value);
            condition.delay_to_caller = duration::from_ms(fault.value);
            return hold_links(chosen, condition, fault.length_ms);
        case link_reset:
            note_disturbance(chosen.front(), now_ms(), now_ms());
            return m_all.links.reset(chosen.front());
        case link_stale:
            note_disturbance(chosen.front(), now_ms(), now_ms() + stale_connection_ms);
            return m_all.links.silence_open_connections(chosen.front());
        default:
            return hold_links(chosen, both_ways_cut, fault.length_ms);
    }
}

/// The instance reports that it is draining, ends, and a new one takes over its address and log.
void fault_player::replace(const planned_fault& fault, service& group, instance& item) {
    item.change([&] { item.is_draining = true; });
    sleep_ms(fault.length_ms);
    if (!item.leave()) {
        return;
    }
    sleep_ms(replacement_gap_ms);
    instance& added = group.replace(item, item.id() + "-" + std::to_string(++m_replaced));
    added.change([&] {
        added.work_ms = m_usual_work_ms;
        added.queue = item.queue;
    });
}

void fault_player::play_host(const planned_fault& fault, const target& at) {
    daemon_process& host = *at.host;
    if (fault.kind == burst) {
        m_clients.burst(static_cast<std::size_t>(fault.value), fault.length_ms);
        return sleep_ms(fault.length_ms);
    }
    if (fault.kind == hosts_killed) {
        return kill_hosts(fault);
    }
    const std::lock_guard in_turn{m_hosts.at(host.host)};
    switch (fault.kind) {
        case host_kill:
        case host_term:
            fault.kind == host_kill ? deployment::kill(host) : deployment::terminate(host);
            sleep_ms(fault.length_ms);
            return m_all.start(host);
        case host_freeze: {
            const double from = now_ms();
            deployment::signal(host, SIGSTOP);
            sleep_ms(fault.length_ms);
            deployment::signal(host, SIGCONT);
            return m_disturbances.add({host.host, "", from, now_ms()});
        }
        default:
            // A process that has just started has no handler of the signal yet.
            sleep_ms(host.started_at + first_reload_ms - now_ms());
            return deployment::signal(host, SIGHUP);
    }
}

/// Kills a share of the hosts at the same moment.
void fault_player::kill_hosts(const planned_fault& fault) {
    std::mt19937 random{fault.target + 1};
    std::list<std::thread> running;
    for (daemon_process& host : m_all.daemons) {
        if (std::uniform_real_distribution<>{0, 1}(random) < fault.value) {
            running.emplace_back([this, &fault, &host] {
                const std::lock_guard in_turn{m_hosts.at(host.host)};
                deployment::kill(host);
                sleep_ms(fault.length_ms);
                m_all.start(host);
            });
        }
    }
    for (std::thread& item : running) {
        item.join();
    }
}

}  // namespace jasminelead::soak
