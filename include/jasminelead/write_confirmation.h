#pragma once

#include <cstdint>
#include <vector>

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

namespace jasminelead {

/// Interface through which the owner requests confirmation of a term by a majority of a group.
class write_confirmation {
public:
    using ticket = std::uint64_t;
    struct result {
        ticket id = 0;
        bool confirmed = false;
    };

    virtual ~write_confirmation() = default;

    /// Every ticket gets exactly one result, no later than its deadline.
    virtual ticket submit(const group_id& group, const endpoint_id& primary,
                          const position_stamp& executed, instant deadline, instant now,
                          action_list& out) = 0;
    virtual std::vector<result> take_results() = 0;
    [[nodiscard]] virtual bool has_majority(const group_id& group, instant now) const = 0;
};

}  // namespace jasminelead
