#pragma once

#include <boost/fiber/operations.hpp>

#include "platform/store_client.h"
#include "proxy/clock.h"

/// Helpers shared by the source files of `store_sync`.
namespace jasminelead::proxy::detail {

/// Timeout of store calls that do not confirm a lease.
inline constexpr duration call_timeout = duration::from_ms(1000);
/// Least time between two rounds of confirmation.
inline constexpr duration store_retry_delay = duration::from_ms(100);

inline void pause(duration length) {
    boost::this_fiber::sleep_until(to_steady(boot_now() + length));
}

inline steady_time call_deadline() {
    return to_steady(boot_now() + call_timeout);
}

inline platform::store_change to_change(const platform::store_item& item) {
    return {item.key, item.revision, item.value};
}

}  // namespace jasminelead::proxy::detail
