#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "soak/deployment.h"
#include "soak/workload.h"

/// The users' rules, judged by what clients, instances and the platform have seen.
namespace jasminelead::soak {

/// A daemon was frozen, or one of its links was disrupted.
struct disturbance {
    std::string host;
    std::string target;  ///< The other end of the link; empty when the host itself is concerned.
    double from = 0;
    double to = 0;
};

class disturbance_log {
public:
    void add(const disturbance& item);
    /// True when the host or its link to the target was disturbed at some time of the span.
    [[nodiscard]] bool covers(const std::string& host, const std::string& target, double from,
                              double to) const;

private:
    mutable std::mutex m_lock;
    std::vector<disturbance> m_items;
};

struct violation {
    std::string rule;
    std::string text;
    std::string group;  ///< Empty when it concerns no single service.
    std::string id;     ///< Of the statement; empty when there is none.
    double at = 0;
};

struct observation {
    deployment& all;
    std::vector<attempt_record> attempts;
    const disturbance_log& disturbances;
};

std::vector<violation> judge(const observation& seen);

/// Each daemon serves reads and writes of each database.
std::vector<violation> judge_recovery(deployment& all);

}  // namespace jasminelead::soak
