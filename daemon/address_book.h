#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "jasminelead/messages.h"

namespace jasminelead::daemon {

/// Addresses of the last host list. All functions may be called from any thread.
class address_book {
public:
    void update(const host_list& list);
    [[nodiscard]] std::optional<std::string> address_of(const host_id& host) const;
    [[nodiscard]] std::optional<std::string> address_of(const endpoint_id& endpoint) const;
    [[nodiscard]] std::size_t host_count() const;

private:
    mutable std::mutex m_lock;
    std::unordered_map<host_id, std::string> m_hosts;
    std::unordered_map<endpoint_id, std::string> m_endpoints;
};

}  // namespace jasminelead::daemon
