#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Registry of policies that register themselves by name.
namespace jasminelead {

/// The policies of one kind. Entries are added during static initialisation only.
template <class Policy>
class policy_registry {
public:
    using factory = std::unique_ptr<Policy> (*)();

    /// Registers a policy for the lifetime of the program.
    struct entry {
        entry(std::string_view name, factory make) { factories().emplace(name, make); }
    };

    /// Returns null for an unknown name.
    static std::unique_ptr<Policy> make(std::string_view name) {
        const auto found = factories().find(name);
        return found == factories().end() ? nullptr : found->second();
    }
    /// Names in alphabetical order.
    static std::vector<std::string> names() {
        std::vector<std::string> result;
        for (const auto& [name, make] : factories()) {
            result.push_back(name);
        }
        return result;
    }

private:
    static std::map<std::string, factory, std::less<>>& factories() {
        static std::map<std::string, factory, std::less<>> all;
        return all;
    }
};

}  // namespace jasminelead
