#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "jasminelead/endpoint_json.h"
#include "jasminelead/kernel.h"

namespace jasminelead {
namespace {

namespace json = boost::json;

json::array hosts_json(const core_context& context) {
    json::array hosts;
    for (const host_entry& host : context.fleet->hosts()) {
        hosts.push_back(json::object{{"host", host.id.str()},
                                     {"data_centre", host.data_centre.str()},
                                     {"address", host.address}});
    }
    return hosts;
}

json::object endpoint_json(const endpoint_entry& endpoint, const core_context& context,
                           const failover& groups) {
    const host_id* const owner = context.fleet->owner_of(endpoint.id);
    const group_view& view = groups.view(endpoint.group);
    json::object row{{"endpoint", endpoint.id.str()},
                     {"group", endpoint.group.str()},
                     {"data_centre", endpoint.data_centre.str()},
                     {"state", endpoint.state == member_state::live ? "live" : "leaving"},
                     {"owner", owner == nullptr ? std::string{} : owner->str()},
                     {"role", endpoint.id == view.primary ? "primary" : "replica"},
                     {"term", view.term}};
    if (const auto stamp = groups.last_stamp(endpoint.id)) {
        row["position"] = stamp->position;
    }
    return row;
}

json::array owned_json(const owner& owned) {
    json::array rows;
    for (const owner::endpoint_status& status : owned.status()) {
        rows.push_back(json::object{{"endpoint", status.endpoint.str()},
                                    {"epoch", status.epoch},
                                    {"claimed", status.claimed},
                                    {"connections", status.connections},
                                    {"running", status.running},
                                    {"queued", status.queued}});
    }
    return rows;
}

json::object violations_json(const invariants& checks) {
    json::object broken;
    for (std::size_t i = 0; i < promise_count; ++i) {
        const auto which = static_cast<promise>(i);
        broken[to_string(which)] = checks.broken(which);
    }
    return broken;
}

}  // namespace

std::string kernel::status_json() const {
    json::array endpoints;
    for (const endpoint_entry& endpoint : m_context.fleet->endpoints()) {
        endpoints.push_back(endpoint_json(endpoint, m_context, m_failover));
    }
    const json::object status{{"host", m_context.self.str()},
                              {"data_centre", m_context.data_centre.str()},
                              {"ready", ready()},
                              {"draining", m_draining},
                              {"table_revision", m_table.revision()},
                              {"requests_in_progress", m_entry.in_progress()},
                              {"daemons", hosts_json(m_context)},
                              {"endpoints", std::move(endpoints)},
                              {"owned", owned_json(m_owner)},
                              {"broken_promises", violations_json(m_checks)}};
    return json::serialize(status);
}

std::string kernel::explain_json(std::string_view session) const {
    json::array rows;
    const auto token = m_tokens.decode(session);
    if (!token) {
        return R"({"error":"bad_token"})";
    }
    for (const entry::trace& trace : m_entry.explain(token->id())) {
        json::array steps(trace.steps.begin(), trace.steps.end());
        rows.push_back(json::object{{"at_ms", trace.at.ms()},
                                    {"group", trace.group.str()},
                                    {"kind", to_string(trace.kind)},
                                    {"steps", std::move(steps)}});
    }
    return json::serialize(json::object{{"requests", std::move(rows)}});
}

}  // namespace jasminelead
