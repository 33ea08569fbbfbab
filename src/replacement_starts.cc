#include "jasminelead/replacement_starts.h"

namespace jasminelead {

/// Later marks of the same replacement do not prolong the wait for hosts that rely on granters. A
/// mark that replaces another revision begins anew, because the primary may have been in use
/// between the two.
void replacement_starts::record(const group_id& group, const group_record& known, instant now) {
    if (known.phase != leadership_phase::changing) {
        m_starts.erase(group);
        return;
    }
    const revision_number replaced =
        known.replaced_revision == 0 ? known.revision : known.replaced_revision;
    const auto found = m_starts.find(group);
    if (found == m_starts.end() || found->second.replaced_revision != replaced) {
        m_starts[group] = {replaced, now};
    }
}

duration replacement_starts::since(const group_id& group, instant now) const {
    const auto found = m_starts.find(group);
    return found == m_starts.end() ? duration{} : now - found->second.seen_at;
}

}  // namespace jasminelead
