#include "proxy/statement_attempt.h"

#include <algorithm>
#include <string>

#include "proxy/clock.h"

namespace jasminelead::proxy {
namespace {

using namespace literals;

// An attempt that begins near or after the latency goal still gets this much time to start.
constexpr duration min_start_time = 50_ms;
constexpr std::uint32_t max_queue_weight = 4;

std::uint32_t queue_weight(std::uint32_t priority) {
    return std::max<std::uint32_t>(max_queue_weight >> std::min<std::uint32_t>(priority, 2), 1);
}

}  // namespace

bool statement_attempt::is_over() const {
    return boot_now() >= give_up;
}

void statement_attempt::exclude(const endpoint_id& endpoint, std::string_view why) {
    excluded.insert(endpoint);
    skip_reasons[endpoint] = why;
}

std::string statement_attempt::skip_reasons_text() const {
    std::string text;
    for (const auto& [endpoint, why] : skip_reasons) {
        text.append(text.empty() ? "" : " ").append(endpoint.str()).append("=").append(why);
    }
    return text;
}

work_request statement_attempt::work() const {
    const instant now = boot_now();
    const instant goal = statement.arrived + route.latency_goal;
    return {service_id{std::to_string(route.priority)},
            service_id{route.database},
            queue_weight(route.priority),
            std::max(goal, now + min_start_time),
            give_up,
            caller};
}

}  // namespace jasminelead::proxy
