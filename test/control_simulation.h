#pragma once

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "jasminelead/membership.h"
#include "jasminelead/table_edit.h"
#include "jasminelead/table_sync.h"

/// Simulation of daemons with membership and table_sync, a store and a network in virtual time.
namespace jasminelead::test {

/// A key-value store with compare-and-swap.
class fake_store {
public:
    struct item {
        std::uint64_t version = 0;
        std::string value;
    };
    std::map<std::string, item> items;
    bool up = true;
    int calls = 0;

    store_result perform(const store_request& request) {
        ++calls;
        if (!up) {
            return {};
        }
        if (const auto* const get = std::get_if<store_get>(&request)) {
            return read(get->key);
        }
        if (const auto* const put = std::get_if<store_put>(&request)) {
            return write(put->key, put->value);
        }
        if (const auto* const cas = std::get_if<store_cas>(&request)) {
            const std::uint64_t version = items.contains(cas->key) ? items[cas->key].version : 0;
            if (version != cas->expected) {
                return {store_status::conflict, version, items[cas->key].value};
            }
            return write(cas->key, cas->value);
        }
        return read(std::get<store_watch>(request).key);
    }
    store_result read(const std::string& key) const {
        const auto found = items.find(key);
        if (found == items.end()) {
            return {store_status::missing, 0, {}};
        }
        return {store_status::ok, found->second.version, found->second.value};
    }

private:
    store_result write(const std::string& key, const std::string& value) {
        item& written = items[key];
        written.value = value;
        return {store_status::ok, ++written.version, {}};
    }
};

/// Runs one edit against the store without delays.
inline edit_outcome run_edit(fake_store& store, edit_request request) {
    table_edit edit{std::move(request)};
    edit_step step = edit.start();
    while (const auto* const call = std::get_if<store_request>(&step)) {
        step = edit.on_result(store.perform(*call));
    }
    return std::get<edit_outcome>(step);
}

inline std::vector<cell_edit> first_rows() {
    return {{"group/shows-1", "absent", "exists"},
            {"endpoint/shows-1-a", "absent", "exists"},
            {"endpoint/shows-1-a.group", "", "shows-1"}};
}

/// Bytes of a ping or its answer as JSON text with its frame header.
template <class Message>
std::size_t json_bytes(const char* type, const Message& message) {
    boost::json::array updates;
    for (const member_update& update : message.updates) {
        updates.push_back(boost::json::object{{"host", update.host.str()},
                                              {"incarnation", update.incarnation},
                                              {"state", "suspect"}});
    }
    const boost::json::object object{{"type", type},
                                     {"sequence", message.sequence},
                                     {"incarnation", message.incarnation},
                                     {"revision", message.revision},
                                     {"updates", std::move(updates)}};
    return boost::json::serialize(object).size() + 4;
}
inline std::size_t membership_bytes(const peer_message& message) {
    constexpr std::size_t small_message = 75;
    if (const auto* const item = std::get_if<ping>(&message)) {
        return json_bytes("ping", *item);
    }
    if (const auto* const item = std::get_if<ping_ack>(&message)) {
        return json_bytes("ping_ack", *item);
    }
    const bool indirect = std::holds_alternative<ping_request>(message) ||
                          std::holds_alternative<ping_request_ack>(message);
    return indirect ? small_message : 0;
}

struct node {
    node(const host_entry& host, incarnation_number incarnation, std::uint64_t seed) : entry{host} {
        context.self = host.id;
        context.data_centre = host.data_centre;
        context.incarnation = incarnation;
        context.checks = &checks;
        context.random.seed(seed);
        members = std::make_unique<membership>(context);
        sync = std::make_unique<table_sync>(context);
    }
    host_entry entry;
    invariants checks{true};
    core_context context;
    std::unique_ptr<membership> members;
    std::unique_ptr<table_sync> sync;
    instant wake = instant::max();
    bool up = true;
    std::size_t membership_bytes = 0;
    std::map<std::string, int> counted;
    int fleet_changes = 0;
};

class simulation {
public:
    explicit simulation(std::size_t hosts, std::size_t data_centres = 3) {
        for (std::size_t i = 0; i < hosts; ++i) {
            const std::string number = std::to_string(1000 + i).substr(1);
            list.hosts.push_back({host_id{"host-" + number},
                                  data_centre_id{"dc-" + std::to_string(i % data_centres)},
                                  "127.0.0.1:7" + number, member_state::live});
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            nodes.push_back(nullptr);
            restart(i);
        }
    }

    /// Restarts a daemon with a higher incarnation and empty state.
    void restart(std::size_t index) {
        constexpr incarnation_number first = 1'764'800'000'000;
        const incarnation_number incarnation =
            first + ++m_starts + static_cast<incarnation_number>(now.ms());
        nodes[index] = std::make_unique<node>(list.hosts[index], incarnation, 7 + m_starts);
        post(now, [this, index] {
            act(index, [this](node& n, action_list& out) {
                n.members->on_host_list(list, now, out);
                n.sync->start(now, out);
            });
        });
    }

    void send_list(std::size_t index) {
        act(index, [this](node& n, action_list& out) { n.members->on_host_list(list, now, out); });
    }

    /// Runs for `span` or until `done` returns true; returns the last result of `done`.
    bool run(
        duration span, const std::function<bool()>& done = [] { return false; }) {
        const instant end = now + span;
        while (!m_events.empty() && m_events.top().at <= end) {
            now = m_events.top().at;
            const auto step = m_events.top().step;
            m_events.pop();
            step();
            if (done()) {
                return true;
            }
        }
        now = end;
        return done();
    }

    bool all_at(revision_number revision) const {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& n) {
            return !n->up || n->sync->revision() >= revision;
        });
    }

    /// Applies an edit to the table and answers the watches.
    void edit(const std::string& id, std::vector<cell_edit> edits) {
        const edit_outcome outcome = run_edit(store, {id, "anna", 1, std::move(edits)});
        if (!std::holds_alternative<edit_applied>(outcome)) {
            throw std::runtime_error("edit " + id + " was not applied");
        }
        answer_watches();
    }

    void answer_watches() {
        std::vector<watch> waiting = std::exchange(m_watches, {});
        for (const watch& item : waiting) {
            const store_result present = store.read(item.key);
            if (!store.up || store_cut(item.index)) {
                answer_store(item.index, item.id, {});
            } else if (present.version > item.version) {
                answer_store(item.index, item.id, present);
            } else {
                m_watches.push_back(item);
            }
        }
    }

    /// Calls `step` on a daemon and performs the resulting actions.
    void act(std::size_t index, const std::function<void(node&, action_list&)>& step) {
        node& n = *nodes[index];
        if (!n.up) {
            return;
        }
        action_list out;
        step(n, out);
        if (n.members->take_changed()) {
            ++n.fleet_changes;
            n.sync->on_fleet_changed(now, out);
        }
        for (action& item : out) {
            perform(index, item);
        }
        schedule(index);
    }

    std::vector<std::unique_ptr<node>> nodes;
    host_list list;
    fake_store store;
    instant now;
    /// True when no message passes between the two daemons.
    std::function<bool(std::size_t, std::size_t)> cut = [](std::size_t, std::size_t) {
        return false;
    };
    std::function<bool(std::size_t)> store_cut = [](std::size_t) { return false; };

private:
    struct event {
        instant at;
        std::uint64_t order;
        std::function<void()> step;
        bool operator<(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct watch {
        std::size_t index;
        call_id id;
        std::string key;
        std::uint64_t version;
    };

    void post(instant at, std::function<void()> step) {
        m_events.push({at, ++m_order, std::move(step)});
    }
    void schedule(std::size_t index) {
        node& n = *nodes[index];
        const instant wake =
            std::max(now, std::min(n.members->next_wakeup().value_or(instant::max()),
                                   n.sync->next_wakeup().value_or(instant::max())));
        if (wake >= n.wake && n.wake >= now) {
            return;
        }
        n.wake = wake;
        post(wake, [this, index, wake] {
            if (nodes[index]->wake != wake) {
                return;
            }
            nodes[index]->wake = instant::max();
            act(index, [this](node& woken, action_list& out) {
                woken.members->tick(now, out);
                woken.sync->tick(now, out);
            });
        });
    }
    void perform(std::size_t index, const action& item) {
        if (const auto* const send = std::get_if<send_peer>(&item)) {
            deliver(index, *send);
        } else if (const auto* const call = std::get_if<store_call>(&item)) {
            call_store(index, *call);
        } else if (const auto* const counted = std::get_if<count>(&item)) {
            ++nodes[index]->counted[std::string{counted->label}];
        }
    }
    void call_store(std::size_t index, const store_call& call) {
        const store_result result = store_cut(index) ? store_result{} : store.perform(call.request);
        const auto* const watched = std::get_if<store_watch>(&call.request);
        const bool waits = watched != nullptr && result.status != store_status::unavailable &&
                           result.version <= watched->version;
        if (!waits) {
            answer_store(index, call.id, result);
            return;
        }
        m_watches.push_back({index, call.id, watched->key, watched->version});
        post(now + duration::from_ms(30'000), [this, id = call.id, index] {
            const auto ended = std::erase_if(
                m_watches, [&](const watch& item) { return item.index == index && item.id == id; });
            if (ended > 0) {
                answer_store(index, id, {store_status::ok, 0, {}});
            }
        });
    }
    void answer_store(std::size_t index, call_id id, const store_result& result) {
        post(now + duration::from_ms(2), [this, index, id, result] {
            act(index, [&](node& n, action_list& out) {
                n.sync->on_store({id, result}, now, out);
            });
        });
    }
    void deliver(std::size_t from, const send_peer& send) {
        const std::size_t to = std::stoul(send.to.str().substr(5));
        const std::size_t bytes = membership_bytes(send.message);
        nodes[from]->membership_bytes += bytes;
        if (cut(from, to)) {
            return;
        }
        post(now + duration::from_ms(1.5), [this, from, to, bytes, message = send.message] {
            if (!nodes[to]->up) {
                act(from, [&](node& n, action_list& out) {
                    n.members->on_peer_failed({list.hosts[to].id, endpoint_error::refused}, now,
                                              out);
                });
                return;
            }
            nodes[to]->membership_bytes += bytes;
            act(to,
                [&](node& n, action_list& out) { receive(n, list.hosts[from].id, message, out); });
        });
    }
    void receive(node& n, const host_id& from, const peer_message& message, action_list& out) {
        n.members->on_peer_heard(from, now);
        if (const auto* const m = std::get_if<ping>(&message)) {
            n.members->on_ping(from, *m, now, out);
            n.sync->on_ping_revision(from, m->revision, now, out);
        } else if (const auto* const ack = std::get_if<ping_ack>(&message)) {
            n.members->on_ping_ack(from, *ack, now, out);
            n.sync->on_ping_revision(from, ack->revision, now, out);
        } else if (const auto* const asked = std::get_if<ping_request>(&message)) {
            n.members->on_ping_request(from, *asked, now, out);
        } else if (const auto* const answered = std::get_if<ping_request_ack>(&message)) {
            n.members->on_ping_request_ack(from, *answered, now, out);
        } else if (const auto* const rumor = std::get_if<revision_rumor>(&message)) {
            n.sync->on_rumor(from, *rumor, now, out);
        } else if (const auto* const request = std::get_if<deltas_request>(&message)) {
            n.sync->on_request(from, *request, now, out);
        } else if (const auto* const reply = std::get_if<deltas_reply>(&message)) {
            n.sync->on_reply(from, *reply, now, out);
        }
    }

    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_starts = 0;
    std::vector<watch> m_watches;
};

}  // namespace jasminelead::test
