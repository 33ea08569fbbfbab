#include "jasminelead/promotion.h"

#include <algorithm>

namespace jasminelead {

/// While the record is changing, a promotion may have raised the term before its endpoint was lost,
/// so that no other endpoint knows of it.
term_number lowest_leader_term(const group_record& record, term_number newest) {
    const bool may_be_raised = record.phase == leadership_phase::changing;
    return std::max(newest, may_be_raised ? record.term + 1 : record.term);
}

/// A record that names a primary or another successor ends what other processes have started: they
/// write it only when no other promotion can take effect.
void pending_promotions::on_record(const group_id& group, const group_record& record, bool is_own,
                                   instant now) {
    group_state& state = m_groups[group];
    if (record.revision <= state.seen_revision) {
        return;
    }
    state.seen_revision = record.revision;
    std::erase_if(state.promotions, [now](const auto& item) { return item.second.until <= now; });
    if (record.phase == leadership_phase::led) {
        std::erase_if(state.promotions, [](const auto& item) { return item.second.calls == 0; });
        return;
    }
    if (!is_own) {
        std::erase_if(state.promotions, [](const auto& item) { return item.second.calls == 0; });
        pending& known = state.promotions[record.successor];
        known.until = std::max(known.until, now + promotion_window + promotion_settle_time);
    }
}

void pending_promotions::on_sent(const group_id& group, const endpoint_id& successor, instant now) {
    pending& known = m_groups[group].promotions[successor];
    ++known.calls;
    known.until = std::max(known.until, now + promotion_settle_time);
}

/// Repeated calls may each take effect, so that one effect ends one call.
void pending_promotions::on_effect(const group_id& group, const endpoint_id& successor) {
    auto& promotions = m_groups[group].promotions;
    const auto found = promotions.find(successor);
    if (found == promotions.end()) {
        return;
    }
    found->second.calls -= std::min(found->second.calls, std::uint32_t{1});
    if (found->second.calls == 0) {
        promotions.erase(found);
    }
}

std::optional<endpoint_id> pending_promotions::successor(const group_id& group, instant now) const {
    const auto state = m_groups.find(group);
    if (state == m_groups.end()) {
        return std::nullopt;
    }
    const auto& promotions = state->second.promotions;
    const auto latest = std::max_element(
        promotions.begin(), promotions.end(),
        [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
    const bool is_pending = latest != promotions.end() && now < latest->second.until;
    return is_pending ? std::optional{latest->first} : std::nullopt;
}

bool pending_promotions::may_promote(const group_id& group, const endpoint_id& successor,
                                     instant now) const {
    const auto state = m_groups.find(group);
    if (state == m_groups.end()) {
        return true;
    }
    const auto& promotions = state->second.promotions;
    return std::all_of(promotions.begin(), promotions.end(), [&](const auto& item) {
        return item.first == successor || item.second.until <= now;
    });
}

}  // namespace jasminelead
