#include "session_platform.h"

#include <openssl/evp.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <chrono>
#include <utility>

namespace jasminelead::support {
namespace {

namespace json = boost::json;

std::string to_base64(const std::string& bytes) {
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string from_base64(std::string_view text) {
    std::string bytes(text.size(), '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                     reinterpret_cast<const unsigned char*>(text.data()),
                                     static_cast<int>(text.size()));
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

std::string parameter(std::string_view target, std::string_view name) {
    const auto url = boost::urls::parse_relative_ref(target);
    if (!url) {
        return {};
    }
    const auto found = url->params().find(name);
    return found == url->params().end() ? std::string{} : std::string{(*found).value};
}

/// Inserts a header line after the status line.
std::string with_header(std::string reply, std::string_view header) {
    const std::size_t end = reply.find("\r\n");
    return end == std::string::npos ? reply
                                    : reply.insert(end + 2, std::string{header}.append("\r\n"));
}

bool is_foreign(const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
}

std::string ok(const json::value& body) {
    return http_reply(200, json::serialize(body));
}

}  // namespace

session_platform::session_platform()
    : m_server{[this](std::string_view target, const std::string& body) {
          return answer(target, body);
      }} {}

void session_platform::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock{m_lock};
    m_items[key] = {value, ++m_revision, 0};
    m_deleted.erase(key);
    m_changed.notify_all();
}

void session_platform::remove(const std::string& key) {
    const std::lock_guard lock{m_lock};
    m_items.erase(key);
    m_deleted[key] = ++m_revision;
    m_changed.notify_all();
}

std::optional<std::string> session_platform::value(const std::string& key) {
    const std::lock_guard lock{m_lock};
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional{found->second.value};
}

void session_platform::keep_copy() {
    const std::lock_guard lock{m_lock};
    m_copy = m_items;
    m_copy_revision = m_revision;
}

void session_platform::restore_copy() {
    const std::lock_guard lock{m_lock};
    const auto before = std::exchange(m_items, m_copy);
    std::erase_if(m_items, [](const auto& entry) { return entry.second.lease != 0; });
    m_deleted.clear();
    m_revision = m_copy_revision;
    ++m_era;
    for (const auto& [key, entry] : before) {
        const auto found = m_items.find(key);
        const bool is_same = found != m_items.end() && found->second.value == entry.value;
        if (is_foreign(key) && !is_same) {
            m_items[key] = {entry.value, ++m_revision, 0};
        }
    }
    m_changed.notify_all();
}

/// A store that has never returned from a copy sends no era.
std::string session_platform::answer(std::string_view target, const std::string& body) {
    std::string reply = execute(target, body);
    const std::lock_guard lock{m_lock};
    return m_era == 0 ? reply
                      : with_header(std::move(reply), "Store-Era: " + std::to_string(m_era));
}

std::string session_platform::execute(std::string_view target, const std::string& body) {
    if (!m_available) {
        return http_reply(503, "{}");
    }
    if (target.starts_with("/jasminelead/kv-key")) {
        return read_key(target);
    }
    if (target.starts_with("/jasminelead/kv-range")) {
        return read_range(target);
    }
    if (target.starts_with("/jasminelead/kv-watch")) {
        return watch(target);
    }
    if (target == "/jasminelead/kv-txn") {
        return commit(body);
    }
    if (target == "/jasminelead/kv-lease") {
        const std::lock_guard lock{m_lock};
        return ok(json::object{{"lease", m_next_lease++}, {"ttlMs", 1500}});
    }
    if (target.starts_with("/jasminelead/kv-keep/")) {
        return ok(json::object{{"ttlMs", 1500}});
    }
    return target == "/promote" ? promote(body) : http_reply(404, "{}");
}

std::string session_platform::read_key(std::string_view target) {
    const std::string key = parameter(target, "key");
    const std::lock_guard lock{m_lock};
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return http_reply(404, "{}");
    }
    return ok(json::object{{"key", key},
                           {"value", to_base64(found->second.value)},
                           {"rev", found->second.revision},
                           {"storeRevision", m_revision}});
}

std::string session_platform::read_range(std::string_view target) {
    const std::string prefix = parameter(target, "prefix");
    const std::string after = parameter(target, "after");
    const std::lock_guard lock{m_lock};
    json::array items;
    for (const auto& [key, entry] : m_items) {
        if (key.starts_with(prefix) && key > after) {
            items.push_back(
                {{"key", key}, {"value", to_base64(entry.value)}, {"rev", entry.revision}});
        }
    }
    return ok(json::object{
        {"items", std::move(items)}, {"truncated", false}, {"storeRevision", m_revision}});
}

/// Waits at most `max_watch_wait`, so that a test can end soon.
std::string session_platform::watch(std::string_view target) {
    constexpr std::chrono::milliseconds max_watch_wait{200};
    const std::uint64_t after = std::stoull("0" + parameter(target, "after"));
    std::unique_lock lock{m_lock};
    if (after > m_revision) {
        return http_reply(410, "{}");
    }
    m_changed.wait_for(lock, max_watch_wait, [&] { return m_revision > after; });
    json::array events;
    for (const auto& [key, entry] : m_items) {
        if (entry.revision > after) {
            events.push_back(
                {{"key", key}, {"value", to_base64(entry.value)}, {"rev", entry.revision}});
        }
    }
    for (const auto& [key, revision] : m_deleted) {
        if (revision > after) {
            events.push_back({{"key", key}, {"rev", revision}, {"tombstone", true}});
        }
    }
    return ok(json::object{{"events", std::move(events)}, {"storeRevision", m_revision}});
}

std::string session_platform::commit(const std::string& body) {
    const json::value request = json::parse(body);
    const std::lock_guard lock{m_lock};
    for (const json::value& condition : request.at("expectRev").as_array()) {
        const std::string key{condition.at("key").as_string()};
        const auto found = m_items.find(key);
        const std::uint64_t present = found == m_items.end() ? 0 : found->second.revision;
        if (present != condition.at("rev").to_number<std::uint64_t>()) {
            return http_reply(412, "{\"items\":[]}");
        }
    }
    ++m_revision;
    for (const json::value& update : request.at("setKeys").as_array()) {
        const std::string key{update.at("key").as_string()};
        m_items[key] = {from_base64(std::string_view{update.at("value").as_string()}), m_revision,
                        0};
        m_deleted.erase(key);
    }
    for (const json::value& key : request.at("deleteKeys").as_array()) {
        m_items.erase(std::string{key.as_string()});
        m_deleted[std::string{key.as_string()}] = m_revision;
    }
    m_changed.notify_all();
    return ok(json::object{{"rev", m_revision}});
}

std::string session_platform::promote(const std::string& body) {
    const json::value request = json::parse(body);
    ++m_promotions;
    if (m_promotion) {
        m_promotion(std::string{request.at("service").as_string()},
                    std::string{request.at("id").as_string()});
    }
    return m_promotions_silent ? "silent" : ok(json::object{});
}

}  // namespace jasminelead::support
