#include "jasminelead/lease_granters.h"

#include <array>
#include <catch2/catch.hpp>
#include <compare>
#include <deque>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "jasminelead/fleet_quorum.h"
#include "jasminelead/store_revision.h"

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

std::set<host_id> hosts(std::initializer_list<int> numbers) {
    std::set<host_id> result;
    for (const int number : numbers) {
        result.insert(host_id{"h" + std::to_string(number)});
    }
    return result;
}

std::vector<host_placement> fleet_of(std::size_t size, std::size_t data_centres) {
    std::vector<host_placement> result;
    for (std::size_t i = 0; i < size; ++i) {
        result.push_back({host_id{"h" + std::to_string(i)},
                          data_centre_id{"dc" + std::to_string(i % data_centres)}, 0.25});
    }
    return result;
}

}  // namespace

// Guards against a grant of a primary that a replacement does not wait for.
TEST_CASE("every grant quorum shares a host with every replacement quorum") {
    for (std::size_t size = 1; size <= 12; ++size) {
        REQUIRE(grant_quorum(size) <= size);
        REQUIRE(replacement_quorum(size) >= 1);
        REQUIRE(grant_quorum(size) + replacement_quorum(size) == size + 1);
    }
}

// Load pattern: the store is down while a data centre is cut off. Guards against an outage of all
// groups, because one host of the fleet cannot be asked.
TEST_CASE("hosts rely on grants when less than a third of the granters is missing") {
    const granter_set granters{1, hosts({1, 2, 3, 4, 5, 6, 7}), {}};
    CHECK(may_rely_on_grants(granters, hosts({1, 2, 3, 4, 5}), 4_s, 900_ms));
    CHECK_FALSE(may_rely_on_grants(granters, hosts({1, 2, 3, 4}), 4_s, 900_ms));
    CHECK_FALSE(may_rely_on_grants(granters, hosts({1, 2, 3, 4, 8, 9}), 4_s, 900_ms));
    CHECK_FALSE(may_rely_on_grants({}, hosts({1}), 4_s, 900_ms));
    CHECK_FALSE(
        may_rely_on_grants(granters, hosts({1, 2, 3, 4, 5}), max_time_on_grants - 900_ms, 900_ms));
}

// Guards against a host that relies on granters which were replaced a moment ago.
TEST_CASE("a replacement asks the previous granters until all hosts know the new ones") {
    const granter_set granters{2, hosts({1, 2, 3}), hosts({4, 5, 6})};
    CHECK_FALSE(is_replacement_known(granters, {}, 1_s, hosts({1, 2})));
    CHECK(is_replacement_known(granters, {}, 1_s, hosts({1, 2, 4, 5})));
    CHECK(is_replacement_known(granters, {}, max_time_on_grants, hosts({1, 2})));
    CHECK_FALSE(may_change_granters(granters, 1_s));
    CHECK(may_change_granters(granters, max_time_on_grants));
    CHECK(may_change_granters(std::nullopt, 0_s));
}

// Guards against a data centre whose loss takes a grant quorum with it.
TEST_CASE("granters are spread over the data centres") {
    for (const std::size_t data_centres : {3U, 4U}) {
        const auto fleet = fleet_of(60, data_centres);
        const auto chosen = choose_granters(fleet);
        CHECK(chosen.size() == 9);
        std::map<data_centre_id, std::size_t> counts;
        for (const host_placement& placement : fleet) {
            counts[placement.data_centre] += chosen.contains(placement.host) ? 1 : 0;
        }
        for (const auto& [data_centre, count] : counts) {
            CHECK(chosen.size() - count >= grant_quorum(chosen.size()));
        }
    }
    CHECK(choose_granters(fleet_of(4, 4)).size() == 4);
}

namespace {

/// Rules of the protocol that a search can switch off.
struct rules {
    bool overlapping_quorums = true;
    bool waits_after_quorum = true;
    bool compares_records = true;
    bool reads_store_after_restart = true;
    bool asks_previous_granters = true;
    bool bounds_time_on_grants = true;
};

constexpr int granter_count = 3;
constexpr int lease_ticks = 2;
constexpr int bound_ticks = 4;
constexpr int max_ticks = 8;

/// One host without the store that relies on granters, and one that replaces the primary. Time
/// advances in ticks; all granters change with the first replacement step if `has_changed` is set.
struct search_state {
    int now = 0;
    int marked_at = -1;
    int known_since = -1;
    bool promoted = false;
    // Per granter: knows the mark, has acknowledged it, has answered the present round with a
    // grant.
    std::array<bool, granter_count> knows{};
    std::array<bool, granter_count> acknowledged{};
    std::array<bool, granter_count> granted{};
    int round_sent = 0;
    int lease_end = 0;  ///< The relying host uses the primary before this tick.
    bool relying_host_knows = false;
    auto operator<=>(const search_state&) const = default;
};

/// Searches all orders of answers, acknowledgements, restarts and ticks up to `max_ticks`.
class protocol_search {
public:
    explicit protocol_search(const rules& used) : m_rules{used} {}

    /// True if the old primary may be in use after the promotion.
    bool finds_violation() {
        visit(search_state{});
        while (!m_open.empty()) {
            const search_state state = m_open.front();
            m_open.pop_front();
            if (state.promoted && state.now < state.lease_end && !state.relying_host_knows) {
                return true;
            }
            expand(state);
        }
        return false;
    }
    [[nodiscard]] std::size_t states() const { return m_seen.size(); }

private:
    void visit(const search_state& state) {
        if (m_seen.insert(state).second) {
            m_open.push_back(state);
        }
    }
    void expand(const search_state& state) {
        tick(state);
        mark(state);
        promote(state);
        begin_round(state);
        for (std::size_t granter = 0; granter < granter_count; ++granter) {
            learn(state, granter);
            answer(state, granter);
            restart(state, granter);
        }
    }
    void tick(search_state state) {
        if (state.now < max_ticks) {
            ++state.now;
            visit(state);
        }
    }
    /// The store records that the primary is replaced.
    void mark(search_state state) {
        if (state.marked_at < 0) {
            state.marked_at = state.now;
            note_quorum(state);
            visit(state);
        }
    }
    void learn(search_state state, std::size_t granter) {
        if (state.marked_at >= 0) {
            state.knows[granter] = true;
            state.acknowledged[granter] = true;
            note_quorum(state);
            visit(state);
        }
    }
    void note_quorum(search_state& state) const {
        std::set<host_id> acknowledged;
        for (std::size_t granter = 0; granter < granter_count; ++granter) {
            if (state.acknowledged[granter]) {
                acknowledged.insert(host_id{"h" + std::to_string(granter)});
            }
        }
        // With the rule off, the replacing host asks one host that is no granter of the others.
        const auto members = m_rules.asks_previous_granters ? hosts({0, 1, 2}) : hosts({});
        const bool is_known = m_rules.overlapping_quorums
                                  ? is_replacement_known({1, hosts({9}), members}, {}, 0_s,
                                                         with_new_granter(acknowledged))
                                  : !acknowledged.empty();
        if (state.known_since < 0 && is_known) {
            state.known_since = state.now;
        }
    }
    /// The only new granter acknowledges at once.
    static std::set<host_id> with_new_granter(std::set<host_id> acknowledged) {
        acknowledged.insert(host_id{"h9"});
        return acknowledged;
    }
    void promote(search_state state) {
        if (state.marked_at < 0 || state.promoted) {
            return;
        }
        primary_stop_progress progress;
        progress.registered = 1;
        progress.knows_all_hosts = false;
        if (state.known_since >= 0) {
            const int wait = m_rules.waits_after_quorum ? state.known_since : -max_ticks;
            progress.since_known = duration::from_ms(state.now - wait);
        }
        progress.lease_length = duration::from_ms(lease_ticks);
        const bool after_bound = state.now >= state.marked_at + bound_ticks;
        if (is_primary_unused(progress) || after_bound) {
            state.promoted = true;
            visit(state);
        }
    }
    void begin_round(search_state state) {
        state.round_sent = state.now;
        state.granted = {};
        visit(state);
    }
    void answer(search_state state, std::size_t granter) {
        const bool tells_mark = state.knows[granter];
        if (tells_mark && m_rules.compares_records) {
            state.relying_host_knows = true;
            visit(state);
            return;
        }
        state.granted[granter] = true;
        std::set<host_id> granted_by;
        for (std::size_t other = 0; other < granter_count; ++other) {
            if (state.granted[other]) {
                granted_by.insert(host_id{"h" + std::to_string(other)});
            }
        }
        // The relying host last heard from the store at tick 0, before any mark.
        const bool in_time =
            !m_rules.bounds_time_on_grants || state.round_sent + lease_ticks <= bound_ticks;
        if (in_time && may_rely_on_grants({1, hosts({0, 1, 2}), {}}, granted_by, 0_s, 1_ms)) {
            state.lease_end = std::max(state.lease_end, state.round_sent + lease_ticks);
        }
        visit(state);
    }
    /// A granter that starts again has lost what it knew until it has read the store.
    void restart(search_state state, std::size_t granter) {
        state.granted[granter] = false;
        state.knows[granter] = m_rules.reads_store_after_restart && state.marked_at >= 0;
        visit(state);
    }

    rules m_rules;
    std::set<search_state> m_seen;
    std::deque<search_state> m_open;
};

bool is_violated_without(bool rules::*rule) {
    rules used;
    used.*rule = false;
    return protocol_search{used}.finds_violation();
}

}  // namespace

// Guards against two primaries of one group: a host without the store relies on its granters while
// another host replaces the primary. Each rule is needed.
TEST_CASE("no order of messages, restarts and time lets an old primary be used after a promotion") {
    protocol_search complete{rules{}};
    CHECK_FALSE(complete.finds_violation());
    INFO("states: " << complete.states());
    CHECK(complete.states() > 100'000);
    CHECK(is_violated_without(&rules::overlapping_quorums));
    CHECK(is_violated_without(&rules::waits_after_quorum));
    CHECK(is_violated_without(&rules::compares_records));
    CHECK(is_violated_without(&rules::reads_store_after_restart));
    CHECK(is_violated_without(&rules::asks_previous_granters));
    CHECK(is_violated_without(&rules::bounds_time_on_grants));
}

// Guards against a host that relies on granters whose record the store has lost: the hosts that
// read the older copy would not ask them.
TEST_CASE(
    "a replacement asks granters that the store has lost, as long as hosts may rely on them") {
    const granter_set restored{revision_in_era(1, 2), hosts({1, 2, 3}), hosts({})};
    const std::vector lost{hosts({7, 8, 9})};
    CHECK_FALSE(is_replacement_known(restored, lost, 1_s, hosts({1, 2})));
    CHECK(is_replacement_known(restored, lost, 1_s, hosts({1, 2, 8, 9})));
    CHECK(is_replacement_known(restored, lost, max_time_on_grants, hosts({1, 2})));
}
