#include "proxy/own_records.h"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <cmath>

#include "proxy/json_fields.h"

namespace jasminelead::proxy {
namespace {

namespace json = boost::json;

constexpr std::string_view group_prefix = "jasminelead/fleet/group/";
constexpr std::string_view host_prefix = "jasminelead/fleet/host/";
constexpr std::string_view alive_prefix = "jasminelead/alive/";
constexpr std::string_view stopped_prefix = "jasminelead/stopped/";

constexpr std::string_view granters_name = "jasminelead/fleet/granters";

constexpr std::uint64_t milli = 1000;
// A replacement of a primary waits for the longest lease of all hosts. The leases of all builds are
// shorter than two seconds.
constexpr duration max_lease_length = duration::from_ms(60'000);

std::uint64_t cpu_milli(double cpu_share) {
    return static_cast<std::uint64_t>(std::lround(cpu_share * milli));
}

std::string with_prefix(std::string_view prefix, const std::string& name) {
    return std::string{prefix}.append(name);
}

json::array encode_hosts(const std::set<host_id>& hosts) {
    json::array result;
    for (const host_id& host : hosts) {
        result.emplace_back(host.str());
    }
    return result;
}

/// Empty when the member is not an array of strings.
std::optional<std::set<host_id>> hosts_of(const json::object& object, std::string_view name) {
    const json::value* const hosts = object.if_contains(name);
    if (hosts == nullptr || !hosts->is_array()) {
        return std::nullopt;
    }
    std::set<host_id> result;
    for (const json::value& host : hosts->get_array()) {
        if (!host.is_string()) {
            return std::nullopt;
        }
        result.emplace(host.get_string().c_str());
    }
    return result;
}

}  // namespace

std::string group_key(const group_id& group) {
    return with_prefix(group_prefix, group.str());
}

std::optional<group_id> group_of_key(std::string_view key) {
    if (!key.starts_with(group_prefix)) {
        return std::nullopt;
    }
    return group_id{key.substr(group_prefix.size())};
}

std::string encode_group_record(const group_record& record) {
    const bool led = record.phase == leadership_phase::led;
    return json::serialize(json::object{{"era", record.era},
                                        {"phase", led ? "led" : "changing"},
                                        {"primary", record.primary.str()},
                                        {"successor", record.successor.str()},
                                        {"changed_by", record.changed_by.str()},
                                        {"incarnation", record.changed_by_incarnation},
                                        {"replaced_revision", record.replaced_revision},
                                        {"term", record.term},
                                        {"taken_over_term", record.taken_over_at.term},
                                        {"taken_over_position", record.taken_over_at.position}});
}

std::optional<group_record> decode_group_record(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto phase = text_of(*object, "phase");
    const auto primary = text_of(*object, "primary");
    const auto successor = text_of(*object, "successor");
    const auto changed_by = text_of(*object, "changed_by");
    const auto term = number_of(*object, "term");
    const auto taken_over_term = number_of(*object, "taken_over_term");
    const auto taken_over_position = number_of(*object, "taken_over_position");
    const auto incarnation = number_of(*object, "incarnation");
    const bool complete = incarnation && phase && primary && successor && changed_by && term &&
                          taken_over_term && taken_over_position;
    if (!complete) {
        return std::nullopt;
    }
    group_record record;
    // Builds that know no eras write none.
    record.era = number_of(*object, "era").value_or(0);
    record.phase = *phase == "led" ? leadership_phase::led : leadership_phase::changing;
    record.primary = endpoint_id{*primary};
    record.successor = endpoint_id{*successor};
    record.changed_by = host_id{*changed_by};
    record.changed_by_incarnation = *incarnation;
    record.replaced_revision = number_of(*object, "replaced_revision").value_or(0);
    record.term = *term;
    record.taken_over_at = {*taken_over_term, *taken_over_position};
    return record;
}

std::string host_key(const host_id& host) {
    return with_prefix(host_prefix, host.str());
}

std::optional<host_id> host_of_key(std::string_view key) {
    if (!key.starts_with(host_prefix)) {
        return std::nullopt;
    }
    return host_id{key.substr(host_prefix.size())};
}

std::string alive_key(const host_id& host) {
    return with_prefix(alive_prefix, host.str());
}

std::optional<host_id> host_of_alive_key(std::string_view key) {
    if (!key.starts_with(alive_prefix)) {
        return std::nullopt;
    }
    return host_id{key.substr(alive_prefix.size())};
}

std::string encode_host_record(const host_record& record) {
    json::array unreachable;
    for (const endpoint_id& endpoint : record.unreachable) {
        unreachable.emplace_back(endpoint.str());
    }
    return json::serialize(
        json::object{{"host", record.host.str()},
                     {"incarnation", record.incarnation},
                     {"peer", record.peer_address},
                     {"data_centre", record.data_centre.str()},
                     {"cpu_milli", cpu_milli(record.cpu_share)},
                     {"unreachable", std::move(unreachable)},
                     {"lease_us", record.lease_length.us()},
                     {"asks_granters", record.asks_granters},
                     {"keeps_limits", record.keeps_limits},
                     {"given_up_replacements", record.has_given_up_replacements}});
}

std::optional<host_record> decode_host_record(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto host = text_of(*object, "host");
    const auto incarnation = number_of(*object, "incarnation");
    const auto peer = text_of(*object, "peer");
    if (!host || !incarnation || !peer) {
        return std::nullopt;
    }
    host_record record;
    record.host = host_id{*host};
    record.incarnation = *incarnation;
    record.peer_address = *peer;
    record.data_centre = data_centre_id{text_of(*object, "data_centre").value_or("")};
    record.cpu_share = static_cast<double>(number_of(*object, "cpu_milli").value_or(milli)) / milli;
    const json::value* const unreachable = object->if_contains("unreachable");
    if (unreachable != nullptr && unreachable->is_array()) {
        for (const json::value& endpoint : unreachable->get_array()) {
            if (endpoint.is_string()) {
                record.unreachable.emplace(endpoint.get_string().c_str());
            }
        }
    }
    record.asks_granters = flag_of(*object, "asks_granters");
    record.keeps_limits = flag_of(*object, "keeps_limits");
    record.has_given_up_replacements = flag_of(*object, "given_up_replacements");
    record.lease_length = duration_of(*object, "lease_us").value_or(unstated_lease_length);
    if (record.lease_length > max_lease_length) {
        return std::nullopt;
    }
    return record;
}

std::optional<host_record> decode_host_record(std::string_view key, std::string_view text) {
    auto record = decode_host_record(text);
    if (!record || host_of_key(key) != record->host) {
        return std::nullopt;
    }
    return record;
}

std::string granters_key() {
    return std::string{granters_name};
}

std::string encode_granters(const granter_set& granters) {
    return json::serialize(json::object{{"members", encode_hosts(granters.members)},
                                        {"previous", encode_hosts(granters.previous)}});
}

std::optional<granter_set> decode_granters(std::string_view text) {
    const auto object = parse_object(text);
    auto members = object ? hosts_of(*object, "members") : std::nullopt;
    auto previous = object ? hosts_of(*object, "previous") : std::nullopt;
    if (!members || members->empty() || !previous) {
        return std::nullopt;
    }
    return granter_set{0, std::move(*members), std::move(*previous)};
}

std::string stopped_use_prefix(const group_id& group) {
    return with_prefix(stopped_prefix, group.str()) + "/";
}

bool is_stopped_use_key(std::string_view key) {
    return key.starts_with(stopped_prefix);
}

std::string stopped_use_key(const group_id& group, const host_id& host) {
    return stopped_use_prefix(group) + host.str();
}

/// A host acknowledges a mark that it has read, so the mark's revision is lower. A larger number
/// would also acknowledge marks that nobody has written yet.
std::optional<revision_number> decode_stopped_use(std::string_view text, revision_number written) {
    revision_number revision = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data(), end, revision);
    if (status != std::errc{} || rest != end || revision >= written) {
        return std::nullopt;
    }
    return revision;
}

}  // namespace jasminelead::proxy
