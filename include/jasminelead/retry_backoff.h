#pragma once

#include "jasminelead/types.h"

/// How long to wait before a call that has failed is made again.
///
/// Load pattern: the store is away for seconds, and all hosts of a fleet call it in vain. The pause
/// doubles up to half a second, so that an outage costs few calls and its end is noticed soon.
namespace jasminelead {

class retry_backoff {
public:
    void on_success() { m_pause = min_pause; }
    /// The call failed; returns the pause before the next one.
    duration on_failure();

    static constexpr duration min_pause = duration::from_ms(100);
    static constexpr duration max_pause = duration::from_ms(500);

private:
    duration m_pause = min_pause;
};

}  // namespace jasminelead
