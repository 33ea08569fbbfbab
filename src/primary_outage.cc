#include "jasminelead/primary_outage.h"

namespace jasminelead {
namespace {

using namespace literals;

// A failover that all hosts acknowledge ends within this time.
constexpr duration usual_outage = 1200_ms;
// Until most hosts agree that a primary is lost, when some of them are lost with it.
constexpr duration slow_agreement = 2500_ms;
// From the end of the leases until the successor leads.
constexpr duration takeover_time = 500_ms;

}  // namespace

outage_choice primary_outages::on_unavailable(const group_id& group, const group_record* record,
                                              instant now, instant give_up) {
    const revision_number revision = record == nullptr ? 0 : record->revision;
    outage& known = m_outages.try_emplace(group, outage{now, revision, now}).first->second;
    if (known.revision != revision) {
        known.revision = revision;
        known.changed = now;
    }
    if (now - known.since < usual_outage) {
        return outage_choice::wait;
    }
    const bool changing = record != nullptr && record->phase == leadership_phase::changing;
    const instant agreed = changing ? known.changed : known.since + slow_agreement;
    const instant expected_end = agreed + m_lease_length + takeover_time;
    const bool is_overdue = now >= expected_end;
    return !is_overdue && give_up >= expected_end ? outage_choice::wait : outage_choice::refuse;
}

}  // namespace jasminelead
