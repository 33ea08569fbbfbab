#include "caller_json.h"

#include <algorithm>
#include <array>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/serializer.hpp>
#include <utility>

#include "json_members.h"

namespace jasminelead::daemon {
namespace {

namespace json = boost::json;

constexpr std::size_t max_token_bytes = 1024;
constexpr std::uint64_t min_timeout_ms = 100;
constexpr std::uint64_t max_timeout_ms = 60'000;
constexpr std::uint64_t default_timeout_ms = 5'000;
constexpr std::uint64_t max_read_age_ms = 3'600'000;
// The JSON tree of a typical request fits into this stack buffer; larger ones spill to the heap.
constexpr std::size_t stack_json_bytes = 2048;

duration ms(std::uint64_t value) {
    return duration::from_us(static_cast<std::int64_t>(value) * 1000);
}

std::optional<request_fault> parse_json(std::string_view body, json::storage_ptr storage,
                                        json::value& value) {
    json::parse_options options;
    options.max_depth = max_json_depth;
    boost::system::error_code error;
    value = json::parse(body, error, std::move(storage), options);
    if (error == json::error::too_deep) {
        return request_fault{reason::too_large, "the JSON text is nested more than 16 levels"};
    }
    if (error) {
        return request_fault{reason::bad_request, "the body is not JSON: " + error.message()};
    }
    return std::nullopt;
}

/// Reads a name. Control characters are refused because names appear in counters, logs and keys.
std::string read_name(json_members& members, std::string_view name) {
    std::string text = members.text(name, max_name_bytes);
    const bool has_control = std::any_of(text.begin(), text.end(),
                                         [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    if (text.empty() || has_control) {
        members.fail("member " + std::string{name} +
                     " must be 1 to 64 bytes without control characters");
    }
    return text;
}

std::string read_id(json_members& members) {
    const json::value* const id = members.has("id") ? members.required("id") : nullptr;
    if (id == nullptr) {
        return {};
    }
    const bool short_string = id->is_string() && id->get_string().size() <= max_name_bytes;
    if (!short_string && !id->is_number()) {
        members.fail("member id must be a number or a string of at most 64 bytes");
        return {};
    }
    return json::serialize(*id);
}

bool read_flag(json_members& members, std::string_view name) {
    return members.has(name) && members.flag(name);
}

void read_text(json_members& members, caller_request& request) {
    request.text = members.text("text", max_request_body_bytes);
    request.read = read_flag(members, "read");
    if (request.text.empty()) {
        members.fail("member text is empty");
    }
}

void read_statement(json_members& members, caller_request& request) {
    read_text(members, request);
    request.idempotent = read_flag(members, "idempotent");
    request.accept_loss = read_flag(members, "accept_loss");
    if (members.has("max_age_ms")) {
        request.max_age = ms(members.number("max_age_ms", 0, max_read_age_ms));
    }
}

void read_transaction(json_members& members, caller_request& request) {
    request.transaction = members.text("transaction", max_token_bytes);
    if (request.transaction.empty()) {
        members.fail("member transaction is empty");
    }
}

void read_common(json_members& members, caller_request& request) {
    request.service = service_id{read_name(members, "service")};
    request.group = group_id{read_name(members, "group")};
    const std::uint64_t timeout = members.has("timeout_ms")
                                      ? members.number("timeout_ms", min_timeout_ms, max_timeout_ms)
                                      : default_timeout_ms;
    request.timeout = ms(timeout);
    if (members.has("session")) {
        request.session = members.text("session", max_token_bytes);
    }
}

void read_kind(json_members& members, caller_request& request) {
    switch (request.kind) {
        case request_kind::statement:
            read_statement(members, request);
            return;
        case request_kind::execute:
            read_text(members, request);
            read_transaction(members, request);
            return;
        case request_kind::commit:
        case request_kind::rollback:
            read_transaction(members, request);
            return;
        case request_kind::begin:
            return;
    }
}

int status_of(reason why) {
    switch (why) {
        case reason::bad_request:
        case reason::bad_token:
        case reason::statement_error:
            return 400;
        case reason::too_large:
            return 413;
        case reason::slow_sender:
            return 408;
        default:
            return 503;
    }
}

void append_string(std::string& out, std::string_view text) {
    // Endpoint details may contain bytes that are not UTF-8; the serializer escapes only control
    // characters.
    out += json::serialize(json::string_view{text});
}

/// Builds the text of a JSON object. Members with an empty value are omitted.
class object_writer {
public:
    void text(std::string_view name, std::string_view value) {
        if (!value.empty()) {
            key(name);
            append_string(m_out, value);
        }
    }
    void raw(std::string_view name, std::string_view value) {
        if (!value.empty()) {
            key(name);
            m_out += value;
        }
    }
    std::string finish() {
        m_out += '}';
        return std::move(m_out);
    }

private:
    void key(std::string_view name) {
        if (m_out.size() > 1) {
            m_out += ',';
        }
        m_out += '"';
        m_out += name;
        m_out += "\":";
    }
    std::string m_out = "{";
};

struct outcome_writer {
    object_writer& out;
    int operator()(const done& result) const {
        out.raw("outcome", R"("done")");
        out.raw("result", result.result);
        return 200;
    }
    int operator()(const not_run& result) const {
        out.raw("outcome", R"("not_run")");
        out.text("reason", to_string(result.why));
        out.text("detail", result.detail);
        return status_of(result.why);
    }
    int operator()(const unknown_outcome& result) const {
        out.raw("outcome", R"("unknown")");
        out.text("reason", to_string(result.why));
        out.text("detail", result.detail);
        return 504;
    }
};

}  // namespace

std::optional<request_kind> kind_of_path(std::string_view path) {
    if (path == "/v1/statement") {
        return request_kind::statement;
    }
    if (path == "/v1/begin") {
        return request_kind::begin;
    }
    if (path == "/v1/execute") {
        return request_kind::execute;
    }
    if (path == "/v1/commit") {
        return request_kind::commit;
    }
    if (path == "/v1/rollback") {
        return request_kind::rollback;
    }
    return std::nullopt;
}

std::variant<parsed_request, request_fault> parse_caller_request(request_kind kind,
                                                                 std::string_view body) {
    std::array<unsigned char, stack_json_bytes> stack{};
    json::monotonic_resource memory{stack.data(), stack.size()};
    json::value value(json::storage_ptr{&memory});
    if (auto fault = parse_json(body, &memory, value)) {
        return *fault;
    }
    json_members members{value};
    parsed_request parsed;
    parsed.request.kind = kind;
    parsed.caller_id = read_id(members);
    read_common(members, parsed.request);
    read_kind(members, parsed.request);
    if (!members.finish()) {
        return request_fault{reason::bad_request, members.fault()};
    }
    return parsed;
}

std::variant<switchover_requested, request_fault> parse_switchover(std::string_view body) {
    json::value value;
    if (auto fault = parse_json(body, {}, value)) {
        return *fault;
    }
    json_members members{value};
    switchover_requested request;
    request.group = group_id{read_name(members, "group")};
    if (members.has("successor")) {
        request.successor = endpoint_id{read_name(members, "successor")};
    }
    if (!members.finish()) {
        return request_fault{reason::bad_request, members.fault()};
    }
    return request;
}

rendered_reply render_reply(const caller_reply& reply, std::string_view caller_id) {
    object_writer out;
    rendered_reply rendered;
    out.raw("id", caller_id);
    rendered.status = std::visit(outcome_writer{out}, reply.result);
    out.text("session", reply.session);
    out.text("transaction", reply.transaction);
    out.text("endpoint", reply.endpoint.str());
    rendered.body = out.finish();
    return rendered;
}

rendered_reply render_fault(const request_fault& fault, std::string_view caller_id) {
    caller_reply reply;
    reply.result = not_run{fault.why, fault.detail};
    return render_reply(reply, caller_id);
}

}  // namespace jasminelead::daemon
