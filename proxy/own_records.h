#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "jasminelead/lease_granters.h"
#include "jasminelead/primary_lease.h"

/// Records that the daemons keep in the store.
namespace jasminelead::proxy {

/// Prefix of all records of the daemons.
inline constexpr std::string_view daemon_prefix = "jasminelead/";
/// Prefix of the group and host records, which `store_sync::confirm` lists in one call.
inline constexpr std::string_view fleet_prefix = "jasminelead/fleet/";

std::string group_key(const group_id& group);
/// Empty for a key of another kind.
std::optional<group_id> group_of_key(std::string_view key);
std::string encode_group_record(const group_record& record);
/// Empty when the text is not a complete record. Leaves the revision at 0, as it is not part of the
/// text.
std::optional<group_record> decode_group_record(std::string_view text);

/// Lease length of a host whose record does not state one: builds before the field had this length.
inline constexpr duration unstated_lease_length = duration::from_ms(1500);

/// Registration of a daemon that may hold a lease on primaries. A daemon that replaces a primary
/// waits until each registered host has stopped using it.
struct host_record {
    host_id host;
    incarnation_number incarnation = 0;
    std::string peer_address;
    data_centre_id data_centre;
    double cpu_share = 1;
    std::set<endpoint_id> unreachable;  ///< Endpoints that the host cannot reach.
    /// For how long the host may use a primary after a confirmation.
    duration lease_length = unstated_lease_length;
    /// The host's build waits for a quorum of granters before it replaces a primary.
    bool asks_granters = false;
    /// The host's build counts operations of accounts and lends shares of limits.
    bool keeps_limits = false;
    /// This process is about to end: it finishes no replacement that it has begun, and sends no
    /// further promotion.
    bool has_given_up_replacements = false;
    bool operator==(const host_record&) const = default;
};
std::string host_key(const host_id& host);
std::optional<host_id> host_of_key(std::string_view key);
std::string encode_host_record(const host_record& record);
/// Empty when the text is not a complete record, or states an implausibly long lease.
std::optional<host_record> decode_host_record(std::string_view text);
/// Empty also when the key is not that of the host which the text names.
std::optional<host_record> decode_host_record(std::string_view key, std::string_view text);

std::string granters_key();
std::string encode_granters(const granter_set& granters);
/// Empty when the text is not a complete record. Leaves the revision at 0.
std::optional<granter_set> decode_granters(std::string_view text);

/// Key that exists while the host renews its lease in the store.
std::string alive_key(const host_id& host);
std::optional<host_id> host_of_alive_key(std::string_view key);

/// Prefix of the keys by which hosts acknowledge that they stopped using the group's old primary.
std::string stopped_use_prefix(const group_id& group);
bool is_stopped_use_key(std::string_view key);
std::string stopped_use_key(const group_id& group, const host_id& host);
/// The revision up to which the old primary is no longer used, of an acknowledgement written at
/// `written`. Empty when the text is not a decimal number, or is not below `written`.
std::optional<revision_number> decode_stopped_use(std::string_view text, revision_number written);

}  // namespace jasminelead::proxy
