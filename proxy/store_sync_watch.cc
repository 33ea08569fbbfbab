#include <algorithm>
#include <set>

#include "jasminelead/retry_backoff.h"
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
constexpr duration watch_timeout_margin = 1_s;
// Batches changes in quick succession into one call.
constexpr duration watch_pause = 60_ms;
// Most hosts of a large fleet soon follow a reader and then need no watch.
constexpr duration follower_watch_pause = 400_ms;
constexpr duration follow_poll = 100_ms;
constexpr duration registration_poll = 20_ms;
// The empty prefix covers the configuration, the endpoints and the daemons' records.
constexpr std::string_view all_keys;

}  // namespace

void store_sync::run_watch() {
    retry_backoff pacer;
    while (!m_stopped) {
        if (is_following(boot_now())) {
            pause(follow_poll);
            continue;
        }
        const bool is_first = !m_watched_revision;
        if (is_first && !m_registered) {
            pause(registration_poll);
            continue;
        }
        if (is_first ? load() : watch_once()) {
            pacer.on_success();
            pause(is_first || !m_fleet.store_readers().empty() ? follower_watch_pause
                                                               : watch_pause);
        } else {
            pause(pacer.on_failure());
        }
    }
}

bool store_sync::watch_once() {
    const auto deadline =
        to_steady(boot_now() + duration::from_ms(watch_wait_ms) + watch_timeout_margin);
    const auto result = m_store.watch(all_keys, *m_watched_revision, watch_wait_ms, deadline);
    if (!result) {
        m_counters.count("watch_faults", platform::to_string(result.fault));
        if (result.fault == platform::store_fault::history_lost) {
            m_watched_revision.reset();
        }
        return result.fault == platform::store_fault::history_lost;
    }
    if (era_of(result.value->revision) != era_of(*m_watched_revision)) {
        // The changes between the copy and the position of the watch are missing.
        m_counters.count("watch_faults", "new_era");
        m_watched_revision.reset();
        return true;
    }
    for (const platform::store_change& change : result.value->changes) {
        m_mirror.apply(change);
    }
    advance_watched_revision(result.value->revision);
    acknowledge_changes();
    create_missing_records();
    return true;
}

/// Call only after all changes up to `revision` were applied.
void store_sync::advance_watched_revision(revision_number revision) {
    m_watched_revision = std::max(m_watched_revision.value_or(0), revision);
    m_mirror.advance_complete_up_to(revision);
}

/// Lists all keys. A listing that fits into one page is a consistent snapshot and also confirms the
/// lease.
bool store_sync::load() {
    const instant sent = boot_now();
    const auto first = m_store.list(all_keys, "", call_deadline());
    record_store_status(first.fault);
    if (!first) {
        return false;
    }
    // The watch continues from the first page's revision.
    const revision_number from = first.value->revision;
    std::set<std::string> seen;
    apply_page(*first.value, seen);
    if (first.value->is_complete || first.value->items.empty()) {
        on_fleet_listed(first.value->items, sent);
    } else if (!load_following_pages(from, first.value->items.back().key, seen)) {
        return false;
    }
    m_mirror.complete_listing(seen, from);
    advance_watched_revision(from);
    // Most hosts find out here which readers they follow instead of reading the store.
    m_fleet.set_hosts(m_mirror.places(boot_now()));
    acknowledge_changes();
    create_missing_records();
    return true;
}

void store_sync::apply_page(const platform::store_listing& page, std::set<std::string>& seen) {
    for (const platform::store_item& item : page.items) {
        m_mirror.apply(to_change(item));
        seen.insert(item.key);
    }
}

/// `first` is the revision of the first page. Pages of different eras are no listing.
bool store_sync::load_following_pages(revision_number first, std::string last,
                                      std::set<std::string>& seen) {
    for (;;) {
        const auto page = m_store.list(all_keys, last, call_deadline());
        if (!page || era_of(page.value->revision) != era_of(first)) {
            return false;
        }
        apply_page(*page.value, seen);
        if (page.value->is_complete || page.value->items.empty()) {
            return true;
        }
        last = page.value->items.back().key;
    }
}

}  // namespace jasminelead::proxy
