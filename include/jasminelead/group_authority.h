#pragma once

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

namespace jasminelead {

/// Interface through which the owner queries failover for the primary of a group and whether it may
/// write.
class group_authority {
public:
    virtual ~group_authority() = default;

    /// Returns term 0 and no primary for an unknown group.
    [[nodiscard]] virtual const group_view& view(const group_id& group) const = 0;
    /// True while new writes must wait for a planned switchover or a promotion.
    [[nodiscard]] virtual bool writes_held(const group_id& group) const = 0;
    virtual void on_stamp(const endpoint_id& endpoint, const position_stamp& stamp, instant now,
                          action_list& out) = 0;
    virtual void on_connection_error(const endpoint_id& endpoint, endpoint_error error, instant now,
                                     action_list& out) = 0;
};

}  // namespace jasminelead
