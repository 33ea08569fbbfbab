#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/types.h"

/// The operators' table of groups, endpoints and services with their weights and limits.
namespace jasminelead {

enum class durability { replica, primary };

struct group_row {
    duration max_age = duration::from_ms(2000);  ///< Default limit of a read's staleness.
    durability acknowledge = durability::replica;
    bool operator==(const group_row&) const = default;
};
struct endpoint_row {
    group_id group;
    std::uint32_t read_weight = 100;
    std::uint32_t max_connections = 20;
    std::uint32_t slots = 3;  ///< Maximum number of concurrent statements.
    bool operator==(const endpoint_row&) const = default;
};
struct service_row {
    std::uint32_t max_connections = 0;  ///< Connection limit in each group.
    std::optional<duration> max_age;    ///< Overrides the group's default.
    std::uint32_t share = 1;            ///< Weight in fair queueing.
    bool operator==(const service_row&) const = default;
};

/// All rows of one table revision.
struct table {
    revision_number revision = 0;
    std::map<group_id, group_row> groups;
    std::map<endpoint_id, endpoint_row> endpoints;
    std::map<service_id, service_row> services;
    bool operator==(const table&) const = default;
};

/// Number of an endpoint's connections that a service may use. The shares of a group's endpoints
/// add up to the service's limit. `index` is the position of the endpoint among the `endpoints` of
/// its group, sorted by name.
std::uint32_t service_connection_share(const service_row& service, std::size_t index,
                                       std::size_t endpoints);

// ---- Edits ------------------------------------------------------------------------------------

/// Values of a row, rather than of a cell, in an edit.
inline constexpr std::string_view row_exists = "exists";
inline constexpr std::string_view row_absent = "absent";

/// Changes one cell (`endpoint/shows-1-a.slots`) or adds or removes a row (`endpoint/shows-1-a`,
/// with the values `exists` and `absent`). The cells of an absent row are empty.
struct cell_edit {
    std::string cell;
    std::string expected;  ///< Value before the edit, as the operator saw it.
    std::string value;
    bool operator==(const cell_edit&) const = default;
};

/// An accepted edit, which leads from `revision - 1` to `revision`.
struct table_delta {
    revision_number revision = 0;
    std::string edit_id;
    std::string operator_name;
    std::int64_t wall_time_ms = 0;
    std::vector<cell_edit> edits;
    std::string previous_id = {};  ///< Edit id of `revision - 1`; empty if unknown.
    bool operator==(const table_delta&) const = default;
};

struct cell_error {
    std::string cell;
    std::string text;
};
struct cell_conflict {
    std::string cell;
    std::string expected;
    std::string present;
};

/// Returns the text of a cell, or nothing if the name of the cell or row is invalid.
std::optional<std::string> cell_value(const table& rows, std::string_view cell);

/// Returns all cells that are out of range or inconsistent with other rows.
std::vector<cell_error> validate(const table& rows);

/// `result` is set if there are neither conflicts nor errors.
struct apply_result {
    std::optional<table> result;
    std::vector<cell_conflict> conflicts;
    std::vector<cell_error> errors;
};
/// Checks the expected values of all cells against `rows`, and applies the edits in order. Reports
/// only errors of single cells; `validate` finds inconsistencies between rows.
apply_result apply(const table& rows, const table_delta& delta);

/// Returns the edits that transform `from` into `to`.
std::vector<cell_edit> difference(const table& from, const table& to);

// ---- JSON for the store and peers
// ----------------------------------------------------------------

inline constexpr std::string_view head_key = "table/head";
inline constexpr std::size_t max_head_deltas = 64;

/// The value of `table/head`. An empty snapshot name denotes the empty table at revision 0.
struct table_head {
    revision_number revision = 0;
    std::string snapshot;
    std::vector<table_delta> deltas;  ///< All deltas after the snapshot, without gaps.
    bool operator==(const table_head&) const = default;
};
/// The value of `table/snapshot/N`.
struct table_snapshot {
    table rows;
    std::vector<std::string> edit_ids;  ///< Ids of the last deltas in the snapshot, oldest first.
    bool operator==(const table_snapshot&) const = default;
};

std::string snapshot_key(revision_number revision);
/// Returns the revision of a snapshot key, 0 for the empty name, or nothing for any other key.
std::optional<revision_number> snapshot_revision(std::string_view key);

std::string write_json(const table_delta& delta);
std::string write_json(const table_head& head);
std::string write_json(const table_snapshot& snapshot);
// The parsers return nothing if a member is missing, has the wrong type or contradicts another.
std::optional<table_delta> parse_delta(std::string_view text);
std::optional<table_head> parse_head(std::string_view text);
std::optional<table_snapshot> parse_snapshot(std::string_view text);

// ---- Text and CSV -------------------------------------------------------------------------------

using text_row = std::vector<std::string>;

/// Parses RFC 4180 text into rows of fields. Returns nothing if a quote is misplaced.
std::optional<std::vector<text_row>> parse_csv(std::string_view text);
std::string write_csv(std::span<const text_row> rows);

/// Returns the header and the rows: groups, endpoints and services, each sorted by name.
std::vector<text_row> text_rows(const table& rows);
struct table_text {
    std::optional<table> rows;  ///< At revision 0.
    std::vector<cell_error> errors;
};
/// Parses rows written by `text_rows`. Reports syntax errors only; `validate` finds the others.
table_text parse_rows(std::span<const text_row> lines);
table_text parse_table_csv(std::string_view text);
std::string write_table_csv(const table& rows);

/// Formats rows with columns padded to a common width.
std::string aligned_text(std::span<const text_row> rows);

}  // namespace jasminelead
