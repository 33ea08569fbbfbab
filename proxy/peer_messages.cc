#include "proxy/peer_messages.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "proxy/json_fields.h"

namespace jasminelead::proxy {
namespace {

namespace json = boost::json;

json::value encode_change(const platform::store_change& change) {
    json::object object{{"key", change.key}};
    put_revision(object, "revision", change.revision);
    if (change.value) {
        object.emplace("value", *change.value);
    }
    return object;
}

std::optional<platform::store_change> decode_change(const json::value& value) {
    const json::object* const object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    auto key = text_of(*object, "key");
    const auto revision = revision_of(*object, "revision");
    if (!key || !revision) {
        return std::nullopt;
    }
    return platform::store_change{std::move(*key), *revision, text_of(*object, "value")};
}

}  // namespace

std::string encode_peer_request(const peer_request& request) {
    json::array unreachable;
    for (const endpoint_id& endpoint : request.unreachable) {
        unreachable.emplace_back(endpoint.str());
    }
    json::object object{{"host", request.host.str()},
                        {"incarnation", request.incarnation},
                        {"era", request.era},
                        {"unreachable", std::move(unreachable)},
                        {"hold_us", request.hold.us()}};
    put_revision(object, "known", request.known);
    put_revisions(object, "stopped_use", request.stopped_use);
    return json::serialize(object);
}

std::optional<peer_request> decode_peer_request(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto host = text_of(*object, "host");
    const auto incarnation = number_of(*object, "incarnation");
    const auto known = revision_of(*object, "known");
    const json::value* const unreachable = object->if_contains("unreachable");
    auto stopped = revisions_of(*object, "stopped_use");
    const bool complete = host && incarnation && known && unreachable != nullptr &&
                          unreachable->is_array() && stopped;
    if (!complete) {
        return std::nullopt;
    }
    peer_request request;
    request.host = host_id{*host};
    request.incarnation = *incarnation;
    request.era = number_of(*object, "era").value_or(0);
    request.known = *known;
    request.stopped_use = std::move(*stopped);
    request.hold = duration_of(*object, "hold_us").value_or(duration{});
    for (const json::value& endpoint : unreachable->get_array()) {
        if (endpoint.is_string()) {
            request.unreachable.emplace(endpoint.get_string().c_str());
        }
    }
    return request;
}

std::string encode_peer_response(const peer_response& response) {
    json::array changes;
    for (const platform::store_change& change : response.changes) {
        changes.push_back(encode_change(change));
    }
    json::object object{{"era", response.era},
                        {"knows_sender", response.knows_sender},
                        {"is_replacing", response.is_replacing},
                        {"held_us", response.held.us()},
                        {"changes", std::move(changes)}};
    put_revision(object, "complete_up_to", response.complete_up_to);
    if (response.confirmed_age) {
        object.emplace("confirmed_age_us", response.confirmed_age->us());
    }
    if (response.lease_age) {
        object.emplace("lease_age_us", response.lease_age->us());
    }
    if (response.group_revisions) {
        put_revisions(object, "group_revisions", *response.group_revisions);
    }
    return json::serialize(object);
}

std::optional<peer_response> decode_peer_response(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const json::value* const changes = object->if_contains("changes");
    if (changes == nullptr || !changes->is_array()) {
        return std::nullopt;
    }
    peer_response response;
    response.era = number_of(*object, "era").value_or(0);
    response.knows_sender = flag_of(*object, "knows_sender");
    response.is_replacing = flag_of(*object, "is_replacing");
    response.confirmed_age = duration_of(*object, "confirmed_age_us");
    response.lease_age = duration_of(*object, "lease_age_us");
    response.held = duration_of(*object, "held_us").value_or(duration{});
    response.complete_up_to = revision_of(*object, "complete_up_to").value_or(0);
    for (const json::value& value : changes->get_array()) {
        auto change = decode_change(value);
        if (!change) {
            return std::nullopt;
        }
        response.changes.push_back(std::move(*change));
    }
    if (object_of(*object, "group_revisions") != nullptr) {
        response.group_revisions = revisions_of(*object, "group_revisions");
        if (!response.group_revisions) {
            return std::nullopt;
        }
    }
    return response;
}

}  // namespace jasminelead::proxy
