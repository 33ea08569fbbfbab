#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "http_text.h"
#include "metrics.h"
#include "synchronized_kernel.h"

namespace jasminelead::daemon {

struct route_response {
    int status = 200;
    std::string body;
    std::string_view content_type = json_type;
};

/// Serves the HTTP paths for operators: health, metrics, status, explain, drain and switchover.
class operator_routes {
public:
    operator_routes(synchronized_kernel& kernel, metrics& counters,
                    std::function<void()> start_drain);

    [[nodiscard]] route_response serve(std::string_view method, std::string_view target,
                                       std::string_view body) const;
    /// Makes /readyz report that the daemon is not ready.
    void set_draining() { m_draining = true; }

private:
    [[nodiscard]] route_response get(std::string_view path, std::string_view query) const;
    [[nodiscard]] route_response post(std::string_view path, std::string_view body) const;
    [[nodiscard]] route_response ready() const;
    [[nodiscard]] route_response explain(std::string_view query) const;
    [[nodiscard]] route_response switch_over(std::string_view body) const;

    synchronized_kernel& m_kernel;
    metrics& m_metrics;
    std::function<void()> m_start_drain;
    std::atomic<bool> m_draining = false;
};

}  // namespace jasminelead::daemon
