#pragma once

#include <optional>
#include <string>
#include <vector>

#include "http_client.h"
#include "jasminelead/messages.h"

/// Calls to the store (docs/protocol.md).
namespace jasminelead::ctl {

struct store_entry {
    std::string key;
    std::string value;
};

class store_client {
public:
    explicit store_client(http_client client) : m_client{std::move(client)} {}

    /// Runs a request. Watches are not supported: they return store_status::unavailable.
    store_result perform(const store_request& request);
    /// Returns the entries whose keys have the prefix, or nullopt without a valid answer.
    std::optional<std::vector<store_entry>> list(const std::string& prefix);
    [[nodiscard]] const std::string& last_error() const { return m_last_error; }

private:
    http_client m_client;
    std::string m_last_error;
};

}  // namespace jasminelead::ctl
