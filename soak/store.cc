#include "soak/store.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "soak/clock.h"

namespace jasminelead::soak {
namespace {

namespace json = boost::json;

constexpr double tick_ms = 20;
constexpr double late_execution_ms = 2000;
// The users' store returns at most about this many items at once.
constexpr std::size_t page_items = 500;
constexpr int busy_status = 503;
constexpr int limited_status = 429;
constexpr int forgotten_status = 410;

http_answer ok(const json::object& body) {
    return {200, json::serialize(body), answer_fate::sent};
}

http_answer lost(answer_fate fate) {
    return {0, "", fate};
}

bool is_foreign(const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
}

}  // namespace

store::store() {
    m_last_tick = now_ms();
    std::thread{[this] { keep_time(); }}.detach();
}

std::uint16_t store::add_caller() {
    const std::size_t index = m_listeners.size();
    {
        const std::lock_guard lock{m_lock};
        m_modes.push_back(store_mode::serves);
        m_addresses.emplace_back();
    }
    m_listeners.push_back(std::make_unique<http_listener>(
        [this, index](const http_request& request) { return answer_in_era(index, request); }));
    return m_listeners.back()->port();
}

void store::set_address(std::size_t caller, const std::string& address, const std::string& shown) {
    const std::lock_guard lock{m_lock};
    m_addresses[caller][address] = shown;
}

void store::set_mode(std::size_t caller, store_mode mode) {
    const std::lock_guard lock{m_lock};
    m_modes[caller] = mode;
    m_changed.notify_all();
}

void store::set_modes(store_mode mode) {
    const std::lock_guard lock{m_lock};
    std::fill(m_modes.begin(), m_modes.end(), mode);
    m_changed.notify_all();
}

void store::set_trouble(const store_trouble& trouble) {
    const std::lock_guard lock{m_lock};
    m_trouble = trouble;
}

void store::forget_history() {
    const std::lock_guard lock{m_lock};
    m_events.clear();
    m_forgotten = m_rev;
    m_changed.notify_all();
}

void store::keep_copy() {
    const std::lock_guard lock{m_lock};
    m_copy = m_items;
    m_copy_rev = m_rev;
}

void store::restore_copy() {
    const std::lock_guard lock{m_lock};
    const auto before = std::exchange(m_items, m_copy);
    std::erase_if(m_items, [](const auto& entry) { return entry.second.lease != 0; });
    m_leases.clear();
    note("the store returns from revision " + std::to_string(m_rev) + " to " +
         std::to_string(m_copy_rev));
    m_rev = m_copy_rev;
    m_events.clear();
    m_forgotten = m_rev;
    ++m_era;
    for (const auto& [key, entry] : before) {
        const auto found = m_items.find(key);
        const bool is_same = found != m_items.end() && found->second.value == entry.value;
        if (is_foreign(key) && !is_same) {
            ++m_rev;
            set(key, entry.value, 0);
        }
    }
    m_changed.notify_all();
}

http_answer store::answer_in_era(std::size_t caller, const http_request& request) {
    http_answer result = answer(caller, request);
    const std::lock_guard lock{m_lock};
    if (m_era != 0) {
        result.header = "Store-Era: " + std::to_string(m_era);
    }
    return result;
}

bool store::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{m_lock};
    if (serves_nobody() && !key.starts_with("op/")) {
        return false;
    }
    ++m_rev;
    set(key, value, 0);
    m_changed.notify_all();
    return true;
}

void store::remove(const std::string& key) {
    const std::lock_guard lock{m_lock};
    if (m_items.contains(key)) {
        ++m_rev;
        erase(key);
    }
    m_changed.notify_all();
}

std::optional<std::string> store::value(const std::string& key) {
    const std::lock_guard lock{m_lock};
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional{found->second.value};
}

void store::add_event(const std::string& key, std::optional<item> written) {
    const double now = now_ms();
    m_events.push_back({m_rev, now, key, std::move(written)});
    while (m_events.front().at < now - history_ms) {
        m_forgotten = m_events.front().rev;
        m_events.pop_front();
    }
}

void store::set(const std::string& key, const std::string& value, std::uint64_t lease_id) {
    item& entry = m_items[key];
    entry.value = value;
    entry.rev = m_rev;
    entry.created = entry.created == 0 ? m_rev : entry.created;
    entry.lease = lease_id;
    add_event(key, entry);
}

void store::erase(const std::string& key) {
    if (m_items.erase(key) > 0) {
        add_event(key, std::nullopt);
    }
}

bool store::serves_nobody() const {
    return !m_modes.empty() && std::all_of(m_modes.begin(), m_modes.end(), [](store_mode mode) {
        return mode != store_mode::serves;
    });
}

/// Ends leases; while the store serves nobody, they may pause instead.
void store::keep_time() {
    for (;;) {
        sleep_ms(tick_ms);
        const std::lock_guard lock{m_lock};
        const double now = now_ms();
        const double passed = now - m_last_tick;
        m_last_tick = now;
        const bool is_paused = serves_nobody() && !m_trouble.ends_leases;
        for (auto at = m_leases.begin(); at != m_leases.end();) {
            if (is_paused) {
                at->second.ends += passed;
            }
            if (at->second.ends > now) {
                ++at;
                continue;
            }
            end_lease(at->first);
            at = m_leases.erase(at);
        }
    }
}

void store::end_lease(std::uint64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, entry] : m_items) {
        if (entry.lease == id) {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys) {
        ++m_rev;
        erase(key);
    }
    m_changed.notify_all();
}

std::string store::as_seen(std::size_t caller, const std::string& value) {
    static const std::string loopback = "127.0.0.1:";
    const auto& addresses = m_addresses[caller];
    std::string result = value;
    for (std::size_t at = result.find(loopback); at != std::string::npos;
         at = result.find(loopback, at + 1)) {
        const std::size_t end = result.find_first_not_of("0123456789", at + loopback.size());
        const std::size_t size = std::min(end, result.size()) - at;
        const auto found = addresses.find(result.substr(at, size));
        if (found != addresses.end()) {
            result.replace(at, size, found->second);
        }
    }
    return result;
}

json::object store::to_json(std::size_t caller, const std::string& key, const item& entry) {
    return {{"key", key},
            {"value", to_base64(as_seen(caller, entry.value))},
            {"rev", entry.rev},
            {"created", entry.created},
            {"lease", entry.lease}};
}

http_answer store::answer(std::size_t caller, const http_request& request) {
    double delay = answer_ms;
    {
        const std::lock_guard lock{m_lock};
        delay += m_trouble.delay_ms;
    }
    sleep_ms(delay);
    lock_type lock{m_lock};
    switch (m_modes[caller]) {
        case store_mode::busy:
            return {busy_status, "{}", answer_fate::sent};
        case store_mode::limited:
            return {limited_status, "{}", answer_fate::sent};
        case store_mode::resets:
            return lost(answer_fate::reset);
        case store_mode::silent:
            return lost(answer_fate::silent);
        case store_mode::serves:
            break;
    }
    const double chance = std::uniform_real_distribution<>{0, 1}(m_random);
    if (chance < m_trouble.late_share) {
        std::thread{[this, caller, request] {
            sleep_ms(late_execution_ms);
            lock_type later{m_lock};
            execute(later, caller, request);
        }}.detach();
        return lost(answer_fate::silent);
    }
    const bool is_lost = chance < m_trouble.late_share + m_trouble.lost_share;
    http_answer result = execute(lock, caller, request);
    // Both forms of a lost answer occur equally often.
    return !is_lost              ? result
           : m_random() % 2 == 0 ? lost(answer_fate::silent)
                                 : lost(answer_fate::reset);
}

http_answer store::execute(lock_type& lock, std::size_t caller, const http_request& request) {
    if (request.path == "/jasminelead/kv-key") {
        return get(caller, request);
    }
    if (request.path == "/jasminelead/kv-range") {
        return range(caller, request);
    }
    if (request.path == "/jasminelead/kv-watch") {
        return watch(lock, caller, request);
    }
    if (request.path == "/jasminelead/kv-txn") {
        return transact(request);
    }
    return lease_call(request);
}

http_answer store::get(std::size_t caller, const http_request& request) {
    const std::string key = request.query.at("key");
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return {404, "{}", answer_fate::sent};
    }
    json::object body = to_json(caller, key, found->second);
    body["storeRevision"] = m_rev;
    return ok(body);
}

http_answer store::range(std::size_t caller, const http_request& request) {
    const std::string prefix = request.query.at("prefix");
    const auto after = request.query.find("after");
    const std::string first = after == request.query.end() ? "" : after->second;
    json::array items;
    bool is_truncated = false;
    for (auto at = m_items.lower_bound(std::max(prefix, first)); at != m_items.end(); ++at) {
        const auto& [key, entry] = *at;
        if (!key.starts_with(prefix)) {
            break;
        }
        if (key == first) {
            continue;
        }
        is_truncated = items.size() == page_items;
        if (is_truncated) {
            break;
        }
        items.push_back(to_json(caller, key, entry));
    }
    return ok({{"items", std::move(items)}, {"truncated", is_truncated}, {"storeRevision", m_rev}});
}

http_answer store::watch(lock_type& lock, std::size_t caller, const http_request& request) {
    const std::string prefix = request.query.at("prefix");
    const std::uint64_t after = std::stoull(request.query.at("after"));
    const double end = now_ms() + std::stod(request.query.at("waitMs"));
    // A watch that waits has seen all changes so far.
    if (after < m_forgotten || after > m_rev) {
        return {forgotten_status, "{}", answer_fate::sent};
    }
    const std::uint64_t era = m_era;
    json::array events;
    for (;;) {
        const auto first = std::upper_bound(
            m_events.begin(), m_events.end(), after,
            [](std::uint64_t rev, const event& change) { return rev < change.rev; });
        for (auto at = first; at != m_events.end(); ++at) {
            if (!at->key.starts_with(prefix)) {
                continue;
            }
            events.push_back(
                at->written
                    ? to_json(caller, at->key, *at->written)
                    : json::object{{"key", at->key}, {"rev", at->rev}, {"tombstone", true}});
        }
        const double left = end - now_ms();
        if (!events.empty() || left <= 0 || m_era != era || m_modes[caller] != store_mode::serves) {
            break;
        }
        m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(left));
    }
    if (m_modes[caller] == store_mode::silent) {
        return lost(answer_fate::silent);
    }
    if (m_modes[caller] != store_mode::serves) {
        return {busy_status, "{}", answer_fate::sent};
    }
    if (m_era != era) {
        return lost(answer_fate::reset);
    }
    return ok({{"events", std::move(events)}, {"storeRevision", m_rev}});
}

http_answer store::transact(const http_request& request) {
    const json::object body = json::parse(request.body).as_object();
    for (const json::value& row : body.at("expectRev").as_array()) {
        const std::string key{row.at("key").as_string()};
        const auto found = m_items.find(key);
        const std::uint64_t rev = found == m_items.end() ? 0 : found->second.rev;
        if (rev != row.at("rev").to_number<std::uint64_t>()) {
            return {412, "{\"items\":[]}", answer_fate::sent};
        }
    }
    for (const json::value& row : body.at("setKeys").as_array()) {
        const auto id = row.at("lease").to_number<std::uint64_t>();
        if (is_foreign(std::string{row.at("key").as_string()})) {
            return {403, "{}", answer_fate::sent};
        }
        if (id != 0 && !m_leases.contains(id)) {
            return {404, "{}", answer_fate::sent};
        }
    }
    ++m_rev;
    for (const json::value& row : body.at("setKeys").as_array()) {
        set(std::string{row.at("key").as_string()},
            from_base64(std::string{row.at("value").as_string()}),
            row.at("lease").to_number<std::uint64_t>());
    }
    for (const json::value& key : body.at("deleteKeys").as_array()) {
        erase(std::string{key.as_string()});
    }
    m_changed.notify_all();
    return ok({{"rev", m_rev}});
}

http_answer store::lease_call(const http_request& request) {
    static const std::string keep = "/jasminelead/kv-keep/";
    static const std::string end = "/jasminelead/kv-lease-end/";
    if (request.path == "/jasminelead/kv-lease") {
        const double ttl = json::parse(request.body).at("ttlMs").to_number<double>();
        m_leases[++m_last_lease] = {ttl, now_ms() + ttl};
        return ok({{"lease", m_last_lease}, {"ttlMs", ttl}});
    }
    if (request.path.starts_with(keep)) {
        const auto found = m_leases.find(std::stoull(request.path.substr(keep.size())));
        if (found == m_leases.end()) {
            return {404, "{}", answer_fate::sent};
        }
        found->second.ends = now_ms() + found->second.ttl;
        return ok({{"ttlMs", found->second.ttl}});
    }
    if (request.path.starts_with(end)) {
        const std::uint64_t id = std::stoull(request.path.substr(end.size()));
        m_leases.erase(id);
        end_lease(id);
        return ok({});
    }
    return {404, "{}", answer_fate::sent};
}

}  // namespace jasminelead::soak
