#include "store_client.h"

#include <boost/json.hpp>

namespace jasminelead::ctl {
namespace {

namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr unsigned status_missing = 404;
constexpr unsigned status_conflict = 409;

struct store_path {
    std::string path;
    json::object body;
};

store_path path_of(const store_request& request) {
    struct visitor {
        store_path operator()(const store_get& r) const { return {"/kv/get", {{"key", r.key}}}; }
        store_path operator()(const store_put& r) const {
            return {"/kv/put", {{"key", r.key}, {"value", r.value}}};
        }
        store_path operator()(const store_cas& r) const {
            return {"/kv/cas", {{"key", r.key}, {"value", r.value}, {"expected", r.expected}}};
        }
        store_path operator()(const store_watch& /*unused*/) const { return {}; }
    };
    return std::visit(visitor{}, request);
}

std::optional<json::object> parse_object(const std::string& text) {
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::optional<std::string> text_of(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr || !member->is_string()) {
        return std::nullopt;
    }
    return std::string{member->get_string()};
}

/// Parses version and value. The answers to a put and a successful cas have no value.
std::optional<store_result> read_result(store_status status, const std::string& body) {
    const auto object = parse_object(body);
    const json::value* const version = object ? object->if_contains("version") : nullptr;
    if (version == nullptr || !version->is_int64() || version->get_int64() < 0) {
        return std::nullopt;
    }
    return store_result{status, static_cast<std::uint64_t>(version->get_int64()),
                        text_of(*object, "value").value_or("")};
}

}  // namespace

store_result store_client::perform(const store_request& request) {
    const store_path call = path_of(request);
    if (call.path.empty()) {
        m_last_error = "watch requests are not supported";
        return {};
    }
    const auto response = m_client.post(call.path, json::serialize(call.body));
    if (!response) {
        m_last_error = m_client.last_error();
        return {};
    }
    if (response->status == status_missing) {
        return {store_status::missing, 0, {}};
    }
    const bool known = response->status == status_ok || response->status == status_conflict;
    const auto status = response->status == status_ok ? store_status::ok : store_status::conflict;
    const auto result = known ? read_result(status, response->body) : std::nullopt;
    if (!result) {
        m_last_error = "unexpected answer of the store to " + call.path + ": HTTP status " +
                       std::to_string(response->status);
    }
    return result.value_or(store_result{});
}

std::optional<std::vector<store_entry>> store_client::list(const std::string& prefix) {
    const auto response =
        m_client.post("/kv/list", json::serialize(json::object{{"prefix", prefix}}));
    if (!response) {
        m_last_error = m_client.last_error();
        return std::nullopt;
    }
    const auto object = response->status == status_ok ? parse_object(response->body) : std::nullopt;
    const json::value* const entries = object ? object->if_contains("entries") : nullptr;
    m_last_error = "unexpected answer of the store to /kv/list: HTTP status " +
                   std::to_string(response->status);
    if (entries == nullptr || !entries->is_array()) {
        return std::nullopt;
    }
    std::vector<store_entry> found;
    for (const json::value& item : entries->get_array()) {
        const auto key = item.is_object() ? text_of(item.get_object(), "key") : std::nullopt;
        const auto value = item.is_object() ? text_of(item.get_object(), "value") : std::nullopt;
        if (!key || !value) {
            return std::nullopt;
        }
        found.push_back({*key, *value});
    }
    return found;
}

}  // namespace jasminelead::ctl
