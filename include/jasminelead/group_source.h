#pragma once

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

/// Group state that the entry module depends on.
namespace jasminelead {

/// Views and term histories of all groups, maintained by the module that tracks failovers.
class group_source {
public:
    group_source() = default;
    group_source(const group_source&) = delete;
    group_source& operator=(const group_source&) = delete;
    virtual ~group_source() = default;

    /// Returns term 0 and no primary for an unknown group.
    [[nodiscard]] virtual const group_view& view(const group_id& group) const = 0;
    [[nodiscard]] virtual const term_history& terms(const group_id& group) const = 0;
    /// Reports a view received from a peer.
    virtual void on_view(const group_id& group, const group_view& view, instant now,
                         action_list& out) = 0;
    /// Reports a stamp received with an answer.
    virtual void on_stamp(const endpoint_id& endpoint, const position_stamp& stamp, instant now,
                          action_list& out) = 0;
};

}  // namespace jasminelead
