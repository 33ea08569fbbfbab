#include "proxy/peer_messages.h"

#include <boost/json/serialize.hpp>
#include <utility>

#include "proxy/json_fields.h"

namespace jasminelead::proxy {
namespace {

namespace json = boost::json;

json::value encode_change(const platform::store_change& change) {
    json::object object{{"key", change.key}, {"revision", change.revision}};
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
    const auto revision = number_of(*object, "revision");
    if (!key || !revision) {
        return std::nullopt;
    }
    return platform::store_change{std::move(*key), *revision, text_of(*object, "value")};
}

}  // namespace

std::string encode_question(const peer_question& question) {
    json::array unreachable;
    for (const endpoint_id& endpoint : question.unreachable) {
        unreachable.emplace_back(endpoint.str());
    }
    json::object stopped;
    for (const auto& [group, revision] : question.stopped_use) {
        stopped.emplace(group.str(), revision);
    }
    return json::serialize(json::object{{"host", question.host.str()},
                                        {"incarnation", question.incarnation},
                                        {"known", question.known},
                                        {"unreachable", std::move(unreachable)},
                                        {"stopped_use", std::move(stopped)},
                                        {"hold_us", question.hold.us()}});
}

std::optional<peer_question> decode_question(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto host = text_of(*object, "host");
    const auto incarnation = number_of(*object, "incarnation");
    const auto known = number_of(*object, "known");
    const json::value* const unreachable = object->if_contains("unreachable");
    const json::value* const stopped = object->if_contains("stopped_use");
    const bool complete = host && incarnation && known && unreachable != nullptr &&
                          unreachable->is_array() && stopped != nullptr && stopped->is_object();
    if (!complete) {
        return std::nullopt;
    }
    peer_question question{host_id{*host}, *incarnation, *known, {}, {}, {}};
    question.hold = duration_of(*object, "hold_us").value_or(duration{});
    for (const json::value& endpoint : unreachable->get_array()) {
        if (endpoint.is_string()) {
            question.unreachable.emplace(endpoint.get_string().c_str());
        }
    }
    const json::object& revisions = stopped->get_object();
    for (const auto& member : revisions) {
        const std::string group{member.key()};
        question.stopped_use[group_id{group}] = number_of(revisions, group).value_or(0);
    }
    return question;
}

std::string encode_answer(const peer_answer& answer) {
    json::array changes;
    for (const platform::store_change& change : answer.changes) {
        changes.push_back(encode_change(change));
    }
    json::object object{{"knows_sender", answer.knows_sender},
                        {"is_replacing", answer.is_replacing},
                        {"held_us", answer.held.us()},
                        {"complete_up_to", answer.complete_up_to},
                        {"changes", std::move(changes)}};
    if (answer.confirmed_age) {
        object.emplace("confirmed_age_us", answer.confirmed_age->us());
    }
    if (answer.lease_age) {
        object.emplace("lease_age_us", answer.lease_age->us());
    }
    return json::serialize(object);
}

std::optional<peer_answer> decode_answer(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const json::value* const changes = object->if_contains("changes");
    if (changes == nullptr || !changes->is_array()) {
        return std::nullopt;
    }
    peer_answer answer;
    answer.knows_sender = flag_of(*object, "knows_sender");
    answer.is_replacing = flag_of(*object, "is_replacing");
    answer.confirmed_age = duration_of(*object, "confirmed_age_us");
    answer.lease_age = duration_of(*object, "lease_age_us");
    answer.held = duration_of(*object, "held_us").value_or(duration{});
    answer.complete_up_to = number_of(*object, "complete_up_to").value_or(0);
    for (const json::value& value : changes->get_array()) {
        auto change = decode_change(value);
        if (!change) {
            return std::nullopt;
        }
        answer.changes.push_back(std::move(*change));
    }
    return answer;
}

}  // namespace jasminelead::proxy
