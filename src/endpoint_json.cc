#include "jasminelead/endpoint_json.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <utility>

namespace jasminelead {
namespace {

namespace json = boost::json;

template <class Enum, std::size_t Size>
using name_table = std::array<std::pair<Enum, std::string_view>, Size>;

constexpr name_table<request_kind, 5> kind_names = {{{request_kind::begin, "begin"},
                                                     {request_kind::execute, "execute"},
                                                     {request_kind::commit, "commit"},
                                                     {request_kind::rollback, "rollback"},
                                                     {request_kind::statement, "statement"}}};
constexpr name_table<run_status, 3> status_names = {
    {{run_status::ok, "ok"}, {run_status::refused, "refused"}, {run_status::rejected, "rejected"}}};
constexpr name_table<endpoint_error, 6> error_names = {
    {{endpoint_error::refused, "refused"},
     {endpoint_error::reset, "reset"},
     {endpoint_error::timeout, "timeout"},
     {endpoint_error::stale_epoch, "stale_epoch"},
     {endpoint_error::limit, "limit"},
     {endpoint_error::protocol, "protocol"}}};

template <class Enum, std::size_t Size>
std::string_view name_of(const name_table<Enum, Size>& names, Enum value) {
    const auto found = std::find_if(names.begin(), names.end(),
                                    [value](const auto& item) { return item.first == value; });
    return found->second;
}

template <class Enum, std::size_t Size>
std::optional<Enum> value_of(const name_table<Enum, Size>& names, std::string_view name) {
    const auto found = std::find_if(names.begin(), names.end(),
                                    [name](const auto& item) { return item.second == name; });
    if (found == names.end()) {
        return std::nullopt;
    }
    return found->first;
}

/// Reads members of a JSON object and records whether any was missing or had the wrong type.
class reader {
public:
    explicit reader(const json::value& value) : m_object{value.if_object()} {
        m_ok = m_object != nullptr;
    }
    std::uint64_t number(std::string_view name) {
        const json::value* const member = find(name);
        if (member != nullptr && member->is_uint64()) {
            return member->get_uint64();
        }
        if (member != nullptr && member->is_int64() && member->get_int64() >= 0) {
            return static_cast<std::uint64_t>(member->get_int64());
        }
        m_ok = false;
        return 0;
    }
    std::string text(std::string_view name) {
        const json::value* const member = find(name);
        if (member != nullptr && member->is_string()) {
            return std::string{member->get_string()};
        }
        m_ok = false;
        return {};
    }
    const json::value* find(std::string_view name) {
        return m_object == nullptr ? nullptr : m_object->if_contains(name);
    }
    void fail() { m_ok = false; }
    [[nodiscard]] bool ok() const { return m_ok; }

private:
    const json::object* m_object;
    bool m_ok;
};

term_history parse_terms(reader& members) {
    term_history terms;
    const json::value* const list = members.find("terms");
    if (list == nullptr || !list->is_array()) {
        members.fail();
        return terms;
    }
    for (const json::value& item : list->get_array()) {
        reader start{item};
        terms.push({start.number("term"), start.number("position")});
        if (!start.ok()) {
            members.fail();
        }
    }
    return terms;
}

}  // namespace

json::value to_json(const position_stamp& stamp) {
    return json::object{{"term", stamp.term},
                        {"log_term", stamp.log_term},
                        {"position", stamp.position},
                        {"role", stamp.role == endpoint_role::primary ? "primary" : "replica"}};
}

json::value to_json(const endpoint_state& state) {
    json::array terms;
    for (const term_start& start : state.terms) {
        terms.push_back(json::object{{"term", start.term}, {"position", start.position}});
    }
    json::value silence = nullptr;
    if (state.primary_silence) {
        silence = state.primary_silence->ms();
    }
    return json::object{{"stamp", to_json(state.stamp)},
                        {"epoch", state.epoch},
                        {"owner", state.owner.str()},
                        {"primary_silence_ms", silence},
                        {"connections_open", state.connections_open},
                        {"terms", std::move(terms)}};
}

json::value to_json(const control_request& request) {
    struct visitor {
        json::value operator()(const status_query& /*unused*/) const { return json::object{}; }
        json::value operator()(const claim_request& r) const {
            return json::object{{"expected_epoch", r.expected_epoch}, {"owner", r.owner.str()}};
        }
        json::value operator()(const release_request& r) const {
            return json::object{{"epoch", r.epoch}};
        }
        json::value operator()(const fence_request& r) const {
            return json::object{{"term", r.term}, {"candidate", r.candidate}};
        }
        json::value operator()(const promote_request& r) const {
            return json::object{{"term", r.term}, {"candidate", r.candidate}};
        }
        json::value operator()(const follow_request& r) const {
            return json::object{{"term", r.term}, {"primary", r.primary.str()}, {"start", r.start}};
        }
    };
    return std::visit(visitor{}, request);
}

std::string_view path_of(const control_request& request) {
    constexpr std::array<std::string_view, 6> paths = {"/status", "/claim",   "/release",
                                                       "/fence",  "/promote", "/follow"};
    return paths.at(request.index());
}

std::string_view to_string(request_kind kind) {
    return name_of(kind_names, kind);
}
std::string_view to_string(run_status status) {
    return name_of(status_names, status);
}
std::string_view to_string(endpoint_error error) {
    return name_of(error_names, error);
}

std::optional<position_stamp> parse_stamp(const json::value& value) {
    reader members{value};
    position_stamp stamp;
    stamp.term = members.number("term");
    stamp.log_term = members.number("log_term");
    stamp.position = members.number("position");
    const std::string role = members.text("role");
    stamp.role = role == "primary" ? endpoint_role::primary : endpoint_role::replica;
    const bool known_role = role == "primary" || role == "replica";
    return members.ok() && known_role ? std::optional{stamp} : std::nullopt;
}

std::optional<endpoint_state> parse_state(const json::value& value) {
    reader members{value};
    endpoint_state state;
    const json::value* const stamp = members.find("stamp");
    const auto parsed = stamp == nullptr ? std::nullopt : parse_stamp(*stamp);
    if (!parsed) {
        return std::nullopt;
    }
    state.stamp = *parsed;
    state.epoch = members.number("epoch");
    state.owner = host_id{members.text("owner")};
    state.connections_open = static_cast<std::uint32_t>(members.number("connections_open"));
    state.terms = parse_terms(members);
    const json::value* const silence = members.find("primary_silence_ms");
    if (silence != nullptr && silence->is_number()) {
        state.primary_silence = duration::from_ms(silence->to_number<double>());
    }
    return members.ok() ? std::optional{state} : std::nullopt;
}

std::optional<control_request> parse_control(std::string_view path, const json::value& value) {
    reader members{value};
    std::optional<control_request> request;
    if (path == "/status") {
        request = status_query{};
    } else if (path == "/claim") {
        request = claim_request{members.number("expected_epoch"), host_id{members.text("owner")}};
    } else if (path == "/release") {
        request = release_request{members.number("epoch")};
    } else if (path == "/fence") {
        request = fence_request{members.number("term"), members.text("candidate")};
    } else if (path == "/promote") {
        request = promote_request{members.number("term"), members.text("candidate")};
    } else if (path == "/follow") {
        request = follow_request{members.number("term"), endpoint_id{members.text("primary")},
                                 members.number("start")};
    }
    return members.ok() ? request : std::nullopt;
}

std::optional<request_kind> parse_request_kind(std::string_view text) {
    return value_of(kind_names, text);
}
std::optional<run_status> parse_run_status(std::string_view text) {
    return value_of(status_names, text);
}
std::optional<endpoint_error> parse_endpoint_error(std::string_view text) {
    return value_of(error_names, text);
}

}  // namespace jasminelead
