#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/messages.h"

/// In-memory model of the platform's versioned key-value store.
namespace jasminelead::support {

class platform_model {
public:
    struct entry {
        std::uint64_t version = 0;
        std::string value;
    };

    [[nodiscard]] store_result get(std::string_view key) const;
    store_result put(std::string_view key, std::string value);
    store_result compare_and_swap(std::string_view key, std::string value, std::uint64_t expected);
    [[nodiscard]] std::vector<std::pair<std::string, entry>> list(std::string_view prefix) const;
    /// The current value when its version is above `version`, otherwise `missing`.
    [[nodiscard]] store_result newer_than(std::string_view key, std::uint64_t version) const;
    /// Applies a request. A watch returns immediately.
    store_result apply(const store_request& request);

private:
    std::map<std::string, entry, std::less<>> m_entries;
};

}  // namespace jasminelead::support
