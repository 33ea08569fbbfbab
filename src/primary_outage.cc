#include "jasminelead/primary_outage.h"

namespace jasminelead {
namespace {

using namespace literals;

// A failover that all hosts acknowledge completes within this time.
constexpr duration typical_failover_time = 1200_ms;
// Time until most hosts agree that the primary is lost, if some hosts fail together with it.
constexpr duration slow_loss_detection_time = 2500_ms;
// Time from the expiry of the leases until the successor is primary.
constexpr duration promotion_time = 500_ms;

}  // namespace

outage_decision primary_outages::on_unavailable(const group_id& group, const group_record* record,
                                                instant now, instant statement_deadline) {
    const revision_number revision = record == nullptr ? 0 : record->revision;
    outage& known = m_outages.try_emplace(group, outage{now, revision, now}).first->second;
    if (known.revision != revision) {
        known.revision = revision;
        known.changed = now;
    }
    if (now - known.since < typical_failover_time) {
        return outage_decision::wait;
    }
    const bool changing = record != nullptr && record->phase == leadership_phase::changing;
    const instant agreed = changing ? known.changed : known.since + slow_loss_detection_time;
    const instant expected_end = agreed + m_lease_length + promotion_time;
    const bool is_overdue = now >= expected_end;
    return !is_overdue && statement_deadline >= expected_end ? outage_decision::wait
                                                             : outage_decision::refuse;
}

}  // namespace jasminelead
