#include "clock.h"

#include <chrono>
#include <ctime>

namespace jasminelead::daemon {

instant boot_now() {
    constexpr std::int64_t us_per_s = 1'000'000;
    constexpr std::int64_t ns_per_us = 1000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return instant::from_us(time.tv_sec * us_per_s + time.tv_nsec / ns_per_us);
}

incarnation_number wall_clock_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
    return static_cast<incarnation_number>(ms.count());
}

}  // namespace jasminelead::daemon
