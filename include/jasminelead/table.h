#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "jasminelead/types.h"

/// The operators' table of weights and limits.
namespace jasminelead {

enum class durability { replica, primary };

struct group_row {
    duration max_age = duration::from_ms(2000);  ///< Oldest data that a read accepts by default.
    durability acknowledge = durability::replica;
    bool operator==(const group_row&) const = default;
};
struct endpoint_row {
    group_id group;
    std::uint32_t read_weight = 100;
    std::uint32_t max_connections = 20;
    std::uint32_t slots = 3;  ///< Statements that run at once.
    bool operator==(const endpoint_row&) const = default;
};
struct service_row {
    std::uint32_t max_connections = 0;  ///< Connections in each group.
    std::optional<duration> max_age;    ///< Overrides the group's default.
    std::uint32_t share = 1;            ///< Weight in the fair queue.
    bool operator==(const service_row&) const = default;
};

/// All rows at one revision.
struct table {
    revision_number revision = 0;
    std::map<group_id, group_row> groups;
    std::map<endpoint_id, endpoint_row> endpoints;
    std::map<service_id, service_row> services;
    bool operator==(const table&) const = default;
};

/// Connections of an endpoint that a service may use. The shares of a group's endpoints add up to
/// the service's limit.
/// `index` is the endpoint's place among the `endpoints` of its group in order of names.
std::uint32_t service_connection_share(const service_row& service, std::size_t index,
                                       std::size_t endpoints);

}  // namespace jasminelead
