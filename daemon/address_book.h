#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "jasminelead/messages.h"

namespace jasminelead::daemon {

/// The addresses in the latest host list. Thread-safe.
class address_book {
public:
    /// Replaces all addresses by those of the list.
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
