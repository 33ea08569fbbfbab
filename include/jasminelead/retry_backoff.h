#pragma once

#include "jasminelead/types.h"

/// Delay before a failed call is retried.
///
/// Load pattern: the store is unavailable for seconds while all hosts of a fleet call it. The pause
/// doubles up to 500 ms: few calls are made during an outage, and its end is noticed soon.
namespace jasminelead {

class retry_backoff {
public:
    void on_success() { m_pause = min_pause; }
    /// Records a failed call and returns the pause before the next one.
    duration on_failure();

    static constexpr duration min_pause = duration::from_ms(100);
    static constexpr duration max_pause = duration::from_ms(500);

private:
    duration m_pause = min_pause;
};

}  // namespace jasminelead
