#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "jasminelead/log_point.h"
#include "jasminelead/store_revision.h"
#include "jasminelead/types.h"

/// Current primary of each group and the lease under which this daemon may use it.
///
/// The store keeps one record for each group. A daemon that replaces a primary first sets the
/// record to `changing`, and promotes the successor only after every registered daemon has
/// acknowledged the change or `lease_length` has passed since enough granters did. A daemon uses a
/// primary only while its last confirmation that the record is unchanged, by the store or by
/// granters, is younger than `lease_length`.
///
/// A store that returns from an older copy may have lost a later record. A record therefore states
/// the era in which it was written, and names a primary to use in that era only. In a later one it
/// is replaced like the record of a lost primary, although the same endpoint may still lead.
namespace jasminelead {

enum class leadership_phase { led, changing };

struct group_record {
    revision_number revision = 0;  ///< Store revision; 0 if there is no record.
    store_era era = 0;             ///< Of the store when the record was written.
    leadership_phase phase = leadership_phase::led;
    endpoint_id primary;
    endpoint_id successor;  ///< Set while changing.
    host_id changed_by;     ///< Daemon that wrote the record.
    incarnation_number changed_by_incarnation = 0;
    /// While changing: revision of the last record that named a primary; 0 if it is not known.
    revision_number replaced_revision = 0;
    term_number term = 0;     ///< Term of the primary; 0 before the first replacement.
    log_point taken_over_at;  ///< End of the primary's log when it took over.
    bool operator==(const group_record&) const = default;
};

/// Permission to use a primary; tied to one revision of the group's record.
struct primary_permit {
    endpoint_id primary;
    revision_number revision = 0;
    bool operator==(const primary_permit&) const = default;
};

class primary_lease {
public:
    explicit primary_lease(duration lease_length) : m_length{lease_length} {}

    /// The store held exactly the known records at some time after `sent`.
    void confirm(instant sent);
    /// Returns true if the record is newer than the known one. If it is outdated and the known one
    /// has a higher term, that one stays known, under the new revision.
    bool apply(const group_id& group, const group_record& record);
    /// Invalidates all permits until the next confirmation, for example after the host's
    /// registration was lost.
    void revoke();
    /// The store is in this era or a later one.
    void advance_era(store_era era);
    [[nodiscard]] store_era era() const { return m_era; }
    /// True if the record may have been followed by another one that the store has lost.
    [[nodiscard]] bool is_outdated(const group_record& record) const { return record.era != m_era; }

    [[nodiscard]] std::optional<primary_permit> permit(const group_id& group, instant now) const;
    [[nodiscard]] bool is_valid(const group_id& group, const primary_permit& held,
                                instant now) const;
    /// Returns null for a group without a record.
    [[nodiscard]] const group_record* record(const group_id& group) const;
    [[nodiscard]] const std::map<group_id, group_record>& records() const { return m_records; }
    /// Time since `sent` of the last confirmation.
    [[nodiscard]] duration age(instant now) const;
    [[nodiscard]] bool is_current(instant now) const { return age(now) < m_length; }
    [[nodiscard]] duration length() const { return m_length; }

private:
    duration m_length;
    std::optional<instant> m_confirmed;
    store_era m_era = 0;  ///< Newest known era of the store.
    std::map<group_id, group_record> m_records;
};

}  // namespace jasminelead
