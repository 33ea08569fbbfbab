#include <algorithm>
#include <set>

#include "jasminelead/retry_pacer.h"
#include "platform/records.h"
#include "proxy/store_calls.h"
#include "proxy/store_sync.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

using detail::call_deadline;
using detail::pause;
using detail::to_change;

constexpr std::uint32_t watch_wait_ms = 10'000;
constexpr duration watch_slack = 1_s;
// Changes that come in quick succession arrive with one call.
constexpr duration watch_pause = 30_ms;
// A host of a large fleet soon follows a reader and needs no watch.
constexpr duration rare_watch_pause = 400_ms;
constexpr duration follow_poll = 100_ms;

}  // namespace

void store_sync::run_watch() {
    retry_pacer pacer;
    while (!m_stopped) {
        if (is_following(boot_now())) {
            pause(follow_poll);
            continue;
        }
        const bool is_first = !m_watched;
        if (is_first ? load() : watch_once()) {
            pacer.on_success();
            pause(is_first || !m_fleet.store_readers().empty() ? rare_watch_pause : watch_pause);
        } else {
            pause(pacer.on_failure());
        }
    }
}

bool store_sync::watch_once() {
    const auto deadline = to_steady(boot_now() + duration::from_ms(watch_wait_ms) + watch_slack);
    const auto result = m_store.watch("", *m_watched, watch_wait_ms, deadline);
    if (!result) {
        m_counters.count("watch_faults", platform::to_string(result.fault));
        if (result.fault == platform::store_fault::history_lost) {
            m_watched.reset();
        }
        return result.fault == platform::store_fault::history_lost;
    }
    for (const platform::store_change& change : result.value->changes) {
        m_mirror.apply(change);
    }
    note_watched(result.value->revision);
    create_missing_records();
    acknowledge_changes();
    return true;
}

/// All changes up to `revision` were applied.
void store_sync::note_watched(revision_number revision) {
    m_watched = std::max(m_watched.value_or(0), revision);
    m_mirror.note_complete(revision);
}

bool store_sync::load() {
    std::set<std::string> seen;
    // Changes after this first answer are received by the watch.
    const auto first = m_store.list(fleet_prefix, "", call_deadline());
    note_store(first.fault);
    if (!first) {
        return false;
    }
    const revision_number from = first.value->revision;
    if (!load_config() || !load_prefix(platform::endpoint_prefix, seen) ||
        !load_prefix(own_prefix, seen)) {
        return false;
    }
    m_mirror.complete_listing(seen, from);
    note_watched(from);
    create_missing_records();
    acknowledge_changes();
    return true;
}

bool store_sync::load_config() {
    const auto item = m_store.get(platform::config_key, call_deadline());
    if (item) {
        m_mirror.apply(to_change(*item.value));
    }
    return item || item.fault == platform::store_fault::not_found;
}

bool store_sync::load_prefix(std::string_view prefix, std::set<std::string>& seen) {
    std::string last;
    for (;;) {
        const auto page = m_store.list(prefix, last, call_deadline());
        if (!page) {
            return false;
        }
        for (const platform::store_item& item : page.value->items) {
            m_mirror.apply(to_change(item));
            seen.insert(item.key);
            last = item.key;
        }
        if (page.value->is_complete || page.value->items.empty()) {
            return true;
        }
    }
}

}  // namespace jasminelead::proxy
