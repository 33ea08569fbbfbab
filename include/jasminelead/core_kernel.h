#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

namespace jasminelead {

/// The decisions of one daemon: events in, actions out. Not thread-safe.
class core_kernel {
public:
    core_kernel() = default;
    core_kernel(const core_kernel&) = delete;
    core_kernel& operator=(const core_kernel&) = delete;
    core_kernel(core_kernel&&) = delete;
    core_kernel& operator=(core_kernel&&) = delete;
    virtual ~core_kernel() = default;

    /// Appends the actions that follow from the event.
    virtual void handle(event input, instant now, action_list& out) = 0;
    /// When the kernel wants a tick; nothing while it waits for events only.
    [[nodiscard]] virtual std::optional<instant> next_wakeup() const = 0;
    [[nodiscard]] virtual bool ready() const = 0;
    [[nodiscard]] virtual std::string status_json() const = 0;
    [[nodiscard]] virtual std::string explain_json(std::string_view session) const = 0;
};

}  // namespace jasminelead
