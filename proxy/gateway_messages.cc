#include "proxy/gateway_messages.h"

#include <array>
#include <boost/json/serialize.hpp>
#include <utility>

#include "proxy/json_fields.h"

namespace jasminelead::proxy {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 5> action_names{"run", "begin", "step", "commit",
                                                       "roll_back"};
constexpr std::array<std::string_view, 3> policy_names{"primary", "bounded_stale",
                                                       "read_your_writes"};

template <class Enum, std::size_t size>
std::optional<Enum> enum_of(const std::array<std::string_view, size>& names,
                            const std::optional<std::string>& name) {
    for (std::size_t i = 0; name && i < size; ++i) {
        if (names[i] == *name) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

template <class Enum, std::size_t size>
std::string_view name_of(const std::array<std::string_view, size>& names, Enum value) {
    return names.at(static_cast<std::size_t>(value));
}

std::string_view name_of(access kind) {
    return kind == access::read ? "read" : "write";
}

access access_of(const json::object& object) {
    return text_of(object, "kind") == "write" ? access::write : access::read;
}

json::object encode_route(const database_route& route) {
    return {{"database", route.database},
            {"group", route.group.str()},
            {"policy", name_of(policy_names, route.policy)},
            {"timeout_us", route.statement_timeout.us()},
            {"goal_us", route.latency_goal.us()},
            {"priority", route.priority},
            {"max_stale_us", route.max_stale.us()}};
}

std::optional<database_route> decode_route(const json::object& object) {
    auto database = text_of(object, "database");
    const auto group = text_of(object, "group");
    const auto policy = enum_of<read_policy>(policy_names, text_of(object, "policy"));
    if (!database || !group || !policy) {
        return std::nullopt;
    }
    database_route route;
    route.database = std::move(*database);
    route.group = group_id{*group};
    route.policy = *policy;
    route.statement_timeout = duration_of(object, "timeout_us").value_or(duration{});
    route.latency_goal = duration_of(object, "goal_us").value_or(duration{});
    route.priority = static_cast<std::uint32_t>(number_of(object, "priority").value_or(0));
    route.max_stale = duration_of(object, "max_stale_us").value_or(duration{});
    return route;
}

json::object encode_statement(const forwarded_statement& statement, instant now) {
    json::object object{{"id", statement.id},
                        {"text", statement.text},
                        {"kind", name_of(statement.kind)},
                        {"age_us", (now - statement.arrived).us()}};
    if (statement.prepared) {
        object.emplace("prepared", json::object{{"kind", name_of(statement.prepared->kind)},
                                                {"shape", statement.prepared->shape}});
        object.emplace("arguments", statement.arguments);
    }
    return object;
}

std::optional<forwarded_statement> decode_statement(const json::object& object, instant now) {
    auto id = text_of(object, "id");
    auto text = text_of(object, "text");
    const auto age = duration_of(object, "age_us");
    if (!id || !text || !age) {
        return std::nullopt;
    }
    forwarded_statement statement;
    statement.id = std::move(*id);
    statement.text = std::move(*text);
    statement.kind = access_of(object);
    statement.arrived = now - *age;
    if (const json::object* const prepared = object_of(object, "prepared")) {
        statement.prepared =
            prepared_statement{access_of(*prepared), text_of(*prepared, "shape").value_or("")};
        statement.arguments = text_of(object, "arguments").value_or("");
    }
    return statement;
}

void encode_write(json::object& object, const session_writes& write, const group_id& group) {
    if (write.point) {
        json::object fields{{"group", group.str()},
                            {"term", write.point->term},
                            {"position", write.point->position}};
        put_revision(fields, "leadership", write.leadership);
        object.emplace("writes", std::move(fields));
    }
}

struct group_write {
    group_id group;
    session_writes write;
};

group_write decode_write(const json::object& object) {
    const json::object* const fields = object_of(object, "writes");
    if (fields == nullptr) {
        return {};
    }
    const log_point point{number_of(*fields, "term").value_or(0),
                          number_of(*fields, "position").value_or(0)};
    return {group_id{text_of(*fields, "group").value_or("")},
            {point, revision_of(*fields, "leadership").value_or(0)}};
}

json::object encode_caller(const authenticated_caller& caller) {
    return {{"account", caller.identity.account.str()},
            {"key_id", caller.identity.key_id},
            {"version", caller.version}};
}

authenticated_caller decode_caller(const json::object& object) {
    const json::object* const fields = object_of(object, "caller");
    if (fields == nullptr) {
        return {};
    }
    authenticated_caller caller;
    caller.identity.account = account_id{text_of(*fields, "account").value_or("")};
    caller.identity.key_id = number_of(*fields, "key_id").value_or(0);
    caller.version = number_of(*fields, "version").value_or(0);
    return caller;
}

json::object encode_values(const session_data& session) {
    json::object values;
    for (const auto& [name, value] : session.values) {
        values.emplace(name, value);
    }
    return values;
}

}  // namespace

std::string encode_gateway_request(const gateway_request& request, instant now) {
    json::object object{{"action", name_of(action_names, request.action)},
                        {"transaction", request.transaction},
                        {"route", encode_route(request.route)},
                        {"statement", encode_statement(request.statement, now)},
                        {"read_only", request.read_only},
                        {"commits", request.commits},
                        {"may_decline", request.may_decline},
                        {"values", encode_values(request.session)}};
    if (!request.session.caller.identity.account.empty()) {
        object.emplace("caller", encode_caller(request.session.caller));
    }
    const group_id& group = request.route.group;
    encode_write(object, last_write(request.session, group), group);
    return json::serialize(object);
}

std::optional<gateway_request> decode_gateway_request(std::string_view text, instant now) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto action = enum_of<gateway_action>(action_names, text_of(*object, "action"));
    const json::object* const route_object = object_of(*object, "route");
    const json::object* const statement_object = object_of(*object, "statement");
    const json::object* const values = object_of(*object, "values");
    if (!action || route_object == nullptr || statement_object == nullptr || values == nullptr) {
        return std::nullopt;
    }
    auto route = decode_route(*route_object);
    auto statement = decode_statement(*statement_object, now);
    if (!route || !statement) {
        return std::nullopt;
    }
    gateway_request request;
    request.action = *action;
    request.transaction = text_of(*object, "transaction").value_or("");
    request.route = std::move(*route);
    request.statement = std::move(*statement);
    request.read_only = flag_of(*object, "read_only");
    request.commits = flag_of(*object, "commits");
    request.may_decline = flag_of(*object, "may_decline");
    for (const auto& member : *values) {
        const std::string name{member.key()};
        request.session.values[name] = text_of(*values, name).value_or("");
    }
    request.session.caller = decode_caller(*object);
    const group_write written = decode_write(*object);
    record_write(request.session, written.group, written.write);
    return request;
}

std::string encode_gateway_answer(const gateway_answer& answer) {
    json::object object{
        {"declined", answer.declined},       {"text", answer.outcome.text},
        {"rows", answer.outcome.rows},       {"signature", answer.outcome.signature},
        {"transaction", answer.transaction}, {"still_open", answer.still_open}};
    if (answer.outcome.fault) {
        object.emplace("fault", to_string(*answer.outcome.fault));
    }
    if (answer.outcome.retry_after > duration{}) {
        object.emplace("retry_after_us", answer.outcome.retry_after.us());
    }
    encode_write(object, answer.last_write, answer.written_group);
    return json::serialize(object);
}

std::optional<gateway_answer> decode_gateway_answer(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    auto rows = text_of(*object, "rows");
    auto signature = text_of(*object, "signature");
    const auto fault = text_of(*object, "fault");
    const auto known = fault ? statement_fault_from_string(*fault) : std::nullopt;
    if (!rows || !signature || (fault && !known)) {
        return std::nullopt;
    }
    gateway_answer answer;
    answer.declined = flag_of(*object, "declined");
    answer.outcome.fault = known;
    answer.outcome.text = text_of(*object, "text").value_or("");
    answer.outcome.rows = std::move(*rows);
    answer.outcome.signature = std::move(*signature);
    answer.outcome.retry_after = duration_of(*object, "retry_after_us").value_or(duration{});
    answer.transaction = text_of(*object, "transaction").value_or("");
    answer.still_open = flag_of(*object, "still_open");
    const group_write written = decode_write(*object);
    answer.last_write = written.write;
    answer.written_group = written.group;
    return answer;
}

}  // namespace jasminelead::proxy
