#include "jasminelead/primary_lease.h"

#include <algorithm>

namespace jasminelead {

void primary_lease::confirm(instant sent) {
    if (!m_confirmed || *m_confirmed < sent) {
        m_confirmed = sent;
    }
}

bool primary_lease::apply(const group_id& group, const group_record& record) {
    group_record& known = m_records[group];
    if (record.revision <= known.revision) {
        return false;
    }
    advance_era(era_of(record.revision));
    if (is_outdated(record) && known.term > record.term) {
        // Terms only rise, so that the known record followed the restored one and was lost.
        known.revision = record.revision;
    } else {
        known = record;
    }
    return true;
}

void primary_lease::advance_era(store_era era) {
    m_era = std::max(m_era, era);
}

void primary_lease::revoke() {
    m_confirmed.reset();
}

duration primary_lease::age(instant now) const {
    return m_confirmed ? now - *m_confirmed : duration::max();
}

const group_record* primary_lease::record(const group_id& group) const {
    const auto found = m_records.find(group);
    return found == m_records.end() ? nullptr : &found->second;
}

std::optional<primary_permit> primary_lease::permit(const group_id& group, instant now) const {
    const group_record* const known = record(group);
    const bool is_led = known != nullptr && known->phase == leadership_phase::led;
    if (!is_led || is_outdated(*known) || !is_current(now)) {
        return std::nullopt;
    }
    return primary_permit{known->primary, known->revision};
}

bool primary_lease::is_valid(const group_id& group, const primary_permit& held, instant now) const {
    return permit(group, now) == held;
}

}  // namespace jasminelead
