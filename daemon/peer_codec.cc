#include "peer_codec.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>
#include <vector>

#include "jasminelead/endpoint_json.h"
#include "json_members.h"

namespace jasminelead::daemon {
namespace {

namespace json = boost::json;

constexpr std::size_t max_message_text_bytes = max_frame_bytes;
constexpr std::size_t max_name_length = 256;
constexpr std::uint64_t max_call_module = static_cast<std::uint64_t>(call_module::table);
constexpr std::uint64_t max_liveness = static_cast<std::uint64_t>(liveness::left);
constexpr std::size_t max_json_depth = 16;

// ---- Common types ------------------------------------------------------------------------------

json::value write(const call_id& id) {
    return json::object{{"module", static_cast<unsigned>(id.module)}, {"number", id.number}};
}
json::value write(const transaction_ref& t) {
    return json::object{
        {"owner", t.owner.str()}, {"incarnation", t.incarnation}, {"number", t.number}};
}
json::value write(const group_view& view) {
    return json::object{{"term", view.term}, {"primary", view.primary.str()}};
}
json::value write(const outcome& result) {
    struct visitor {
        json::value operator()(const done& r) const {
            return json::object{{"outcome", "done"}, {"result", r.result}};
        }
        json::value operator()(const not_run& r) const {
            return json::object{
                {"outcome", "not_run"}, {"reason", to_string(r.why)}, {"detail", r.detail}};
        }
        json::value operator()(const unknown_outcome& r) const {
            return json::object{
                {"outcome", "unknown"}, {"reason", to_string(r.why)}, {"detail", r.detail}};
        }
    };
    return std::visit(visitor{}, result);
}
json::value write(const std::vector<member_update>& updates) {
    json::array list;
    for (const member_update& update : updates) {
        list.push_back(json::object{{"host", update.host.str()},
                                    {"incarnation", update.incarnation},
                                    {"state", static_cast<unsigned>(update.state)}});
    }
    return list;
}
json::value write(const term_history& terms) {
    json::array list;
    for (const term_start& start : terms) {
        list.push_back(json::object{{"term", start.term}, {"position", start.position}});
    }
    return list;
}

std::uint64_t read_uint64(json_members& members, std::string_view name) {
    return members.number(name, 0, UINT64_MAX);
}
std::string read_name(json_members& members, std::string_view member) {
    return members.text(member, max_name_length);
}
duration read_duration(json_members& members, std::string_view member) {
    return duration::from_us(members.signed_number(member));
}

/// Reads a nested object with the function and propagates its fault.
template <class Function>
void read_object(json_members& members, std::string_view member, Function&& function) {
    const json::value* const value = members.required(member);
    if (value == nullptr) {
        return;
    }
    json_members inner{*value};
    function(inner);
    if (!inner.finish()) {
        members.fail(inner.fault());
    }
}

/// Calls the function for each object in an array and propagates their faults.
template <class Function>
void read_array(json_members& members, std::string_view member, Function&& function) {
    const json::value* const value = members.required(member);
    if (value == nullptr || !value->is_array()) {
        members.fail("member " + std::string{member} + " must be an array");
        return;
    }
    for (const json::value& item : value->get_array()) {
        json_members inner{item};
        function(inner);
        if (!inner.finish()) {
            members.fail(inner.fault());
        }
    }
}

void read(json_members& members, std::string_view member, call_id& id) {
    read_object(members, member, [&id](json_members& m) {
        id.module = static_cast<call_module>(m.number("module", 0, max_call_module));
        id.number = read_uint64(m, "number");
    });
}
void read(json_members& members, std::string_view member, transaction_ref& t) {
    read_object(members, member, [&t](json_members& m) {
        t.owner = host_id{read_name(m, "owner")};
        t.incarnation = read_uint64(m, "incarnation");
        t.number = read_uint64(m, "number");
    });
}
void read(json_members& members, std::string_view member, group_view& view) {
    read_object(members, member, [&view](json_members& m) {
        view.term = read_uint64(m, "term");
        view.primary = endpoint_id{read_name(m, "primary")};
    });
}
reason read_reason(json_members& members) {
    const auto why = reason_from_string(read_name(members, "reason"));
    if (!why) {
        members.fail("unknown reason");
    }
    return why.value_or(reason::none);
}
void read(json_members& members, std::string_view member, outcome& result) {
    read_object(members, member, [&result](json_members& m) {
        const std::string kind = read_name(m, "outcome");
        if (kind == "done") {
            result = done{m.text("result", max_message_text_bytes)};
        } else if (kind == "not_run") {
            const reason why = read_reason(m);
            result = not_run{why, m.text("detail", max_message_text_bytes)};
        } else if (kind == "unknown") {
            const reason why = read_reason(m);
            result = unknown_outcome{why, m.text("detail", max_message_text_bytes)};
        } else {
            m.fail("unknown outcome");
        }
    });
}
void read(json_members& members, std::string_view member, std::vector<member_update>& updates) {
    read_array(members, member, [&updates](json_members& m) {
        member_update update;
        update.host = host_id{read_name(m, "host")};
        update.incarnation = read_uint64(m, "incarnation");
        update.state = static_cast<liveness>(m.number("state", 0, max_liveness));
        updates.push_back(update);
    });
}
void read(json_members& members, std::string_view member, term_history& terms) {
    read_array(members, member, [&terms](json_members& m) {
        const term_number term = read_uint64(m, "term");
        terms.push({term, read_uint64(m, "position")});
    });
}
void read(json_members& members, std::string_view member, position_stamp& stamp) {
    const json::value* const value = members.required(member);
    const auto parsed = value == nullptr ? std::nullopt : parse_stamp(*value);
    if (!parsed) {
        members.fail("member " + std::string{member} + " must be a position stamp");
        return;
    }
    stamp = *parsed;
}

// ---- Messages ----------------------------------------------------------------------------------

void write_members(json::object& out, const statement_call& m) {
    out["id"] = write(m.id);
    out["endpoint"] = m.endpoint.str();
    out["kind"] = to_string(m.kind);
    out["service"] = m.service.str();
    out["group"] = m.group.str();
    out["text"] = m.text;
    out["read"] = m.read;
    out["idempotent"] = m.idempotent;
    out["confirm"] = m.confirm;
    out["remaining_us"] = m.remaining.us();
    out["transaction"] = write(m.transaction);
}
void read_members(json_members& in, statement_call& m) {
    read(in, "id", m.id);
    m.endpoint = endpoint_id{read_name(in, "endpoint")};
    const auto kind = parse_request_kind(read_name(in, "kind"));
    if (!kind) {
        in.fail("unknown kind");
    }
    m.kind = kind.value_or(request_kind::statement);
    m.service = service_id{read_name(in, "service")};
    m.group = group_id{read_name(in, "group")};
    m.text = in.text("text", max_message_text_bytes);
    m.read = in.flag("read");
    m.idempotent = in.flag("idempotent");
    m.confirm = in.flag("confirm");
    m.remaining = read_duration(in, "remaining_us");
    read(in, "transaction", m.transaction);
}

void write_members(json::object& out, const statement_reply& m) {
    out["id"] = write(m.id);
    out["endpoint"] = m.endpoint.str();
    out["result"] = write(m.result);
    if (m.stamp) {
        out["stamp"] = to_json(*m.stamp);
    }
    out["transaction"] = write(m.transaction);
    if (m.view) {
        out["view"] = write(*m.view);
    }
    if (!m.holder.empty()) {
        out["holder"] = m.holder.str();
    }
}
void read_members(json_members& in, statement_reply& m) {
    read(in, "id", m.id);
    m.endpoint = endpoint_id{read_name(in, "endpoint")};
    read(in, "result", m.result);
    if (in.has("stamp")) {
        read(in, "stamp", m.stamp.emplace());
    }
    read(in, "transaction", m.transaction);
    if (in.has("view")) {
        read(in, "view", m.view.emplace());
    }
    if (in.has("holder")) {
        m.holder = host_id{read_name(in, "holder")};
    }
}

template <class Ping>
void write_ping(json::object& out, const Ping& m) {
    out["sequence"] = m.sequence;
    out["incarnation"] = m.incarnation;
    out["revision"] = m.revision;
    out["updates"] = write(m.updates);
}
template <class Ping>
void read_ping(json_members& in, Ping& m) {
    m.sequence = read_uint64(in, "sequence");
    m.incarnation = read_uint64(in, "incarnation");
    m.revision = read_uint64(in, "revision");
    read(in, "updates", m.updates);
}
void write_members(json::object& out, const ping& m) {
    write_ping(out, m);
}
void read_members(json_members& in, ping& m) {
    read_ping(in, m);
}
void write_members(json::object& out, const ping_ack& m) {
    write_ping(out, m);
}
void read_members(json_members& in, ping_ack& m) {
    read_ping(in, m);
}

template <class Request>
void write_indirect(json::object& out, const Request& m) {
    out["sequence"] = m.sequence;
    out["target"] = m.target.str();
}
template <class Request>
void read_indirect(json_members& in, Request& m) {
    m.sequence = read_uint64(in, "sequence");
    m.target = host_id{read_name(in, "target")};
}
void write_members(json::object& out, const ping_request& m) {
    write_indirect(out, m);
}
void read_members(json_members& in, ping_request& m) {
    read_indirect(in, m);
}
void write_members(json::object& out, const ping_request_ack& m) {
    write_indirect(out, m);
}
void read_members(json_members& in, ping_request_ack& m) {
    read_indirect(in, m);
}

void write_members(json::object& out, const revision_rumor& m) {
    out["revision"] = m.revision;
}
void read_members(json_members& in, revision_rumor& m) {
    m.revision = read_uint64(in, "revision");
}

void write_members(json::object& out, const deltas_request& m) {
    out["since"] = m.since;
}
void read_members(json_members& in, deltas_request& m) {
    m.since = read_uint64(in, "since");
}

void write_members(json::object& out, const deltas_reply& m) {
    out["revision"] = m.revision;
    if (m.snapshot) {
        out["snapshot"] = *m.snapshot;
    }
    json::array deltas;
    for (const std::string& delta : m.deltas) {
        deltas.push_back(json::string(delta));
    }
    out["deltas"] = std::move(deltas);
}
void read_members(json_members& in, deltas_reply& m) {
    m.revision = read_uint64(in, "revision");
    if (in.has("snapshot")) {
        m.snapshot = in.text("snapshot", max_message_text_bytes);
    }
    const json::value* const deltas = in.required("deltas");
    if (deltas == nullptr || !deltas->is_array()) {
        in.fail("member deltas must be an array");
        return;
    }
    for (const json::value& delta : deltas->get_array()) {
        if (!delta.is_string()) {
            in.fail("member deltas must contain only strings");
            return;
        }
        m.deltas.emplace_back(delta.get_string());
    }
}

void write_members(json::object& out, const group_query& m) {
    out["group"] = m.group.str();
}
void read_members(json_members& in, group_query& m) {
    m.group = group_id{read_name(in, "group")};
}

void write_members(json::object& out, const switchover_requested& m) {
    out["group"] = m.group.str();
    out["successor"] = m.successor.str();
}
void read_members(json_members& in, switchover_requested& m) {
    m.group = group_id{read_name(in, "group")};
    m.successor = endpoint_id{in.text("successor", max_name_length)};
}

void write_members(json::object& out, const group_report& m) {
    out["group"] = m.group.str();
    out["view"] = write(m.view);
    json::array owned;
    for (const auto& state : m.owned) {
        owned.push_back(json::object{{"endpoint", state.endpoint.str()},
                                     {"stamp", to_json(state.stamp)},
                                     {"age_us", state.age.us()}});
    }
    out["owned"] = std::move(owned);
    out["terms"] = write(m.terms);
}
void read_members(json_members& in, group_report& m) {
    m.group = group_id{read_name(in, "group")};
    read(in, "view", m.view);
    read_array(in, "owned", [&m](json_members& item) {
        group_report::owned_state state;
        state.endpoint = endpoint_id{read_name(item, "endpoint")};
        read(item, "stamp", state.stamp);
        state.age = read_duration(item, "age_us");
        m.owned.push_back(state);
    });
    read(in, "terms", m.terms);
}

/// Wire names in the order of the alternatives of peer_message.
constexpr std::array<std::string_view, std::variant_size_v<peer_message>> type_names = {
    "statement_call", "statement_reply",  "ping",           "ping_ack",
    "ping_request",   "ping_request_ack", "revision_rumor", "deltas_request",
    "deltas_reply",   "group_query",      "group_report",   "switchover_requested"};

template <std::size_t Index = 0>
std::optional<peer_message> read_message(std::string_view type, json_members& members) {
    if constexpr (Index < std::variant_size_v<peer_message>) {
        if (type != type_names[Index]) {
            return read_message<Index + 1>(type, members);
        }
        std::variant_alternative_t<Index, peer_message> message;
        read_members(members, message);
        if (members.finish()) {
            return peer_message{std::move(message)};
        }
    }
    return std::nullopt;
}

}  // namespace

std::string encode_peer_message(const peer_message& message) {
    json::object out;
    out["type"] = type_names.at(message.index());
    std::visit([&out](const auto& item) { write_members(out, item); }, message);
    return json::serialize(out);
}

std::optional<peer_message> decode_peer_message(std::string_view text) {
    json::parse_options options;
    options.max_depth = max_json_depth;
    boost::system::error_code error;
    const json::value value = json::parse(text, error, {}, options);
    if (error) {
        return std::nullopt;
    }
    json_members members{value};
    const std::string type = read_name(members, "type");
    return read_message(type, members);
}

void append_frame(std::string& out, std::string_view payload) {
    const std::size_t size = payload.size();
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        out.push_back(static_cast<char>((size >> shift) & 0xffU));
    }
    out += payload;
}

std::size_t frame_length(std::string_view header) {
    std::size_t size = 0;
    for (std::size_t at = 0; at < frame_header_bytes; ++at) {
        size = size << 8U | static_cast<unsigned char>(header[at]);
    }
    return size;
}

}  // namespace jasminelead::daemon
