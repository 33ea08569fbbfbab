#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "jasminelead/primary_lease.h"

/// The daemons' own records in the store.
namespace jasminelead::proxy {

/// Prefix of all of them.
inline constexpr std::string_view daemon_prefix = "jasminelead/";
/// Prefix of the records that `lease_confirmation` reads in one call.
inline constexpr std::string_view fleet_prefix = "jasminelead/fleet/";

std::string group_key(const group_id& group);
/// Nothing for a key of another kind.
std::optional<group_id> group_of_key(std::string_view key);
std::string encode_group_record(const group_record& record);
/// The revision is not part of the text. Nothing when it is not a complete record.
std::optional<group_record> decode_group_record(std::string_view text);

/// A daemon that may hold permits. It is asked before a primary is replaced.
struct host_record {
    host_id host;
    incarnation_number incarnation = 0;
    std::string peer_address;
    data_centre_id data_centre;
    double cpu_share = 1;
    std::set<endpoint_id> unreachable;  ///< Endpoints to which it cannot open a connection.
    bool operator==(const host_record&) const = default;
};
std::string host_key(const host_id& host);
std::optional<host_id> host_of_key(std::string_view key);
std::string encode_host_record(const host_record& record);
std::optional<host_record> decode_host_record(std::string_view text);

/// Exists while a host renews its lease in the store.
std::string alive_key(const host_id& host);
std::optional<host_id> host_of_alive_key(std::string_view key);

/// Acknowledgements that a host has stopped using the primary of a group.
std::string stopped_use_prefix(const group_id& group);
bool is_stopped_use_key(std::string_view key);
std::string stopped_use_key(const group_id& group, const host_id& host);

}  // namespace jasminelead::proxy
