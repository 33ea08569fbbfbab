#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "jasminelead/log_point.h"
#include "jasminelead/types.h"

/// Who leads each group, and how long this daemon may rely on it.
///
/// The store keeps one record for each group. A daemon that replaces a primary first marks the
/// record as `changing`, and promotes only after every registered daemon has acknowledged the mark
/// or `lease_length` has passed. A daemon uses a primary only while its last proof that the record
/// is unchanged is younger than `lease_length`.
namespace jasminelead {

enum class leadership_phase { led, changing };

struct group_record {
    revision_number revision = 0;  ///< Store revision of the record; 0 while there is none.
    leadership_phase phase = leadership_phase::led;
    endpoint_id primary;
    endpoint_id successor;  ///< Set while changing.
    host_id changed_by;     ///< Daemon that wrote the record, and which process of it.
    incarnation_number changed_by_incarnation = 0;
    term_number term = 0;     ///< In which the primary leads; 0 while it was never replaced.
    log_point taken_over_at;  ///< End of the primary's log when it took over.
    bool operator==(const group_record&) const = default;
};

/// The right to use a primary, valid for the record of one revision.
struct primary_permit {
    endpoint_id primary;
    revision_number revision = 0;
    bool operator==(const primary_permit&) const = default;
};

class primary_lease {
public:
    explicit primary_lease(duration lease_length) : m_length{lease_length} {}

    /// The records that are known are those that the store held at some time after `sent`.
    void confirm(instant sent);
    /// True when the record was newer than the known one.
    bool apply(const group_id& group, const group_record& record);
    /// Ends all permits until the next confirmation, as after losing the registration.
    void revoke();

    [[nodiscard]] std::optional<primary_permit> permit(const group_id& group, instant now) const;
    [[nodiscard]] bool is_valid(const group_id& group, const primary_permit& held,
                                instant now) const;
    /// Null for a group without a record.
    [[nodiscard]] const group_record* record(const group_id& group) const;
    [[nodiscard]] const std::map<group_id, group_record>& records() const { return m_records; }
    /// Time since the moment that the last confirmation proves.
    [[nodiscard]] duration age(instant now) const;
    [[nodiscard]] bool is_current(instant now) const { return age(now) < m_length; }
    [[nodiscard]] duration length() const { return m_length; }

private:
    duration m_length;
    std::optional<instant> m_confirmed;
    std::map<group_id, group_record> m_records;
};

}  // namespace jasminelead
