#include "platform_server.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>

#include "http_server.h"
#include "platform_model.h"

namespace jasminelead::support {
namespace {

namespace json = boost::json;
using http_status = boost::beast::http::status;

constexpr std::int64_t max_watch_ms = 30'000;

std::string text_member(const json::value& body, std::string_view name) {
    const json::object* const object = body.if_object();
    const json::value* const member = object == nullptr ? nullptr : object->if_contains(name);
    return member != nullptr && member->is_string() ? std::string{member->get_string()}
                                                    : std::string{};
}

std::int64_t number_member(const json::value& body, std::string_view name) {
    const json::object* const object = body.if_object();
    const json::value* const member = object == nullptr ? nullptr : object->if_contains(name);
    return member != nullptr && member->is_int64() ? member->get_int64() : 0;
}

class platform_server {
public:
    explicit platform_server(std::string_view hosts_json) : m_hosts(json::parse(hosts_json)) {}

    std::optional<http_reply> answer(std::string_view target, const json::value& body) {
        std::unique_lock lock{m_mutex};
        if (target == "/admin/available") {
            m_available = body.as_object().at("available").as_bool();
            return http_reply{http_status::ok, json::object{}};
        }
        if (target == "/admin/hosts") {
            m_hosts = body;
            return http_reply{http_status::ok, json::object{}};
        }
        if (!m_available) {
            return std::nullopt;
        }
        if (target == "/hosts") {
            return http_reply{http_status::ok, m_hosts};
        }
        return answer_store(lock, target, body);
    }

private:
    std::optional<http_reply> answer_store(std::unique_lock<std::mutex>& lock,
                                           std::string_view target, const json::value& body) {
        const std::string key = text_member(body, "key");
        if (target == "/kv/get") {
            return reply(m_store.get(key));
        }
        if (target == "/kv/put") {
            return changed(m_store.put(key, text_member(body, "value")));
        }
        if (target == "/kv/cas") {
            const auto expected = static_cast<std::uint64_t>(number_member(body, "expected"));
            return changed(m_store.compare_and_swap(key, text_member(body, "value"), expected));
        }
        if (target == "/kv/list") {
            return list(text_member(body, "prefix"));
        }
        if (target == "/kv/watch") {
            return watch(lock, key, body);
        }
        return http_reply{http_status::not_found, json::object{{"error", "unknown path"}}};
    }

    static http_reply reply(const store_result& result) {
        if (result.status == store_status::missing) {
            return {http_status::not_found, json::object{{"error", "missing"}}};
        }
        const auto status =
            result.status == store_status::conflict ? http_status::conflict : http_status::ok;
        return {status, json::object{{"version", result.version}, {"value", result.value}}};
    }

    http_reply changed(const store_result& result) {
        m_changed.notify_all();
        return reply(result);
    }

    [[nodiscard]] http_reply list(std::string_view prefix) const {
        json::array entries;
        for (const auto& [key, entry] : m_store.list(prefix)) {
            entries.push_back(
                json::object{{"key", key}, {"version", entry.version}, {"value", entry.value}});
        }
        return {http_status::ok, json::object{{"entries", std::move(entries)}}};
    }

    std::optional<http_reply> watch(std::unique_lock<std::mutex>& lock, const std::string& key,
                                    const json::value& body) {
        const auto version = static_cast<std::uint64_t>(number_member(body, "version"));
        const auto wait = std::chrono::milliseconds{
            std::clamp<std::int64_t>(number_member(body, "wait_ms"), 0, max_watch_ms)};
        const bool newer = m_changed.wait_for(lock, wait, [&] {
            return m_store.newer_than(key, version).status == store_status::ok;
        });
        if (!m_available) {
            return std::nullopt;
        }
        if (!newer) {
            return http_reply{http_status::no_content, nullptr};
        }
        return reply(m_store.get(key));
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    platform_model m_store;
    json::value m_hosts;
    bool m_available = true;
};

}  // namespace

void serve_platform(std::string_view address, std::string_view hosts_json) {
    platform_server server{hosts_json};
    http_handlers handlers;
    handlers.request = [&server](http_connection&, std::string_view target,
                                 const json::value& body) { return server.answer(target, body); };
    handlers.closed = [](http_connection&) {};
    serve_http(address, handlers);
}

}  // namespace jasminelead::support
