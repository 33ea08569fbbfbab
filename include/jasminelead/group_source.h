#pragma once

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

/// What the entry needs to know of the groups.
namespace jasminelead {

/// Views and term histories of all groups, kept by the module that follows failovers.
class group_source {
public:
    group_source() = default;
    group_source(const group_source&) = delete;
    group_source& operator=(const group_source&) = delete;
    virtual ~group_source() = default;

    /// Term 0 and no primary for a group that is not known.
    [[nodiscard]] virtual const group_view& view(const group_id& group) const = 0;
    [[nodiscard]] virtual const term_history& terms(const group_id& group) const = 0;
    /// A view learned from a peer.
    virtual void on_view(const group_id& group, const group_view& view, instant now,
                         action_list& out) = 0;
    /// A stamp that came with an answer.
    virtual void on_stamp(const endpoint_id& endpoint, const position_stamp& stamp, instant now,
                          action_list& out) = 0;
};

}  // namespace jasminelead
