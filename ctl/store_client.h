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

    /// Watches are not supported and end as unavailable.
    store_result perform(const store_request& request);
    /// All entries below a prefix; nothing when the store did not answer.
    std::optional<std::vector<store_entry>> list(const std::string& prefix);
    [[nodiscard]] const std::string& last_error() const { return m_last_error; }

private:
    http_client m_client;
    std::string m_last_error;
};

}  // namespace jasminelead::ctl
