#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

namespace jasminelead {

/// Decision logic of one daemon, without I/O: events in, actions out. Not thread-safe.
class core_kernel {
public:
    core_kernel() = default;
    core_kernel(const core_kernel&) = delete;
    core_kernel& operator=(const core_kernel&) = delete;
    core_kernel(core_kernel&&) = delete;
    core_kernel& operator=(core_kernel&&) = delete;
    virtual ~core_kernel() = default;

    /// Processes an event and appends the resulting actions to `out`.
    virtual void handle(event input, instant now, action_list& out) = 0;
    /// Time at which a tick is due; nothing if no timer is pending.
    [[nodiscard]] virtual std::optional<instant> next_wakeup() const = 0;
    [[nodiscard]] virtual bool ready() const = 0;
    [[nodiscard]] virtual std::string status_json() const = 0;
    [[nodiscard]] virtual std::string explain_json(std::string_view session) const = 0;
};

}  // namespace jasminelead
