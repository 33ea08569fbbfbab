#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "soak/link_proxy.h"

namespace jasminelead::soak {

/// The links from each host to the store, the promotion call, the instances and the other hosts.
class host_links {
public:
    /// From a host to a target.
    using link = std::pair<std::string, std::string>;

    /// The port at which the host reaches the target from now on.
    std::uint16_t add(const link& name, std::uint16_t target_port);
    /// All links that the predicate chooses.
    template <class Predicate>
    [[nodiscard]] std::vector<link> select(Predicate chooses) const {
        std::vector<link> result;
        for (const auto& [name, state] : m_links) {
            if (chooses(name)) {
                result.push_back(name);
            }
        }
        return result;
    }
    /// Adds a condition to those of a link.
    void disturb(const link& name, const link_condition& condition);
    /// Ends a condition that was added.
    void mend(const link& name, const link_condition& condition);
    void reset(const link& name);
    void silence_open_connections(const link& name);

private:
    struct link_state {
        std::unique_ptr<link_proxy> proxy;
        std::vector<link_condition> conditions;
    };

    static void apply(link_state& state);

    link_threads m_threads;
    mutable std::mutex m_lock;
    std::map<link, link_state> m_links;
};

/// Names of targets; other hosts go by their own names.
inline const std::string store_target = "store";
inline const std::string promotion_target = "promotion";
std::string instance_target(std::uint16_t port);

}  // namespace jasminelead::soak
