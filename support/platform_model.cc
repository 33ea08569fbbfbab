#include "platform_model.h"

#include <utility>

namespace jasminelead::support {

store_result platform_model::get(std::string_view key) const {
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        return {store_status::missing, 0, {}};
    }
    return {store_status::ok, found->second.version, found->second.value};
}

store_result platform_model::put(std::string_view key, std::string value) {
    entry& stored = m_entries[std::string{key}];
    ++stored.version;
    stored.value = std::move(value);
    return {store_status::ok, stored.version, {}};
}

store_result platform_model::compare_and_swap(std::string_view key, std::string value,
                                              std::uint64_t expected) {
    const store_result present = get(key);
    if (present.version != expected) {
        return {store_status::conflict, present.version, present.value};
    }
    return put(key, std::move(value));
}

std::vector<std::pair<std::string, platform_model::entry>> platform_model::list(
    std::string_view prefix) const {
    std::vector<std::pair<std::string, entry>> found;
    for (auto it = m_entries.lower_bound(prefix);
         it != m_entries.end() && it->first.starts_with(prefix); ++it) {
        found.emplace_back(it->first, it->second);
    }
    return found;
}

store_result platform_model::newer_than(std::string_view key, std::uint64_t version) const {
    store_result present = get(key);
    if (present.version <= version) {
        present.status = store_status::missing;
    }
    return present;
}

store_result platform_model::apply(const store_request& request) {
    struct visitor {
        platform_model& self;
        store_result operator()(const store_get& r) const { return self.get(r.key); }
        store_result operator()(const store_put& r) const { return self.put(r.key, r.value); }
        store_result operator()(const store_cas& r) const {
            return self.compare_and_swap(r.key, r.value, r.expected);
        }
        store_result operator()(const store_watch& r) const {
            return self.newer_than(r.key, r.version);
        }
    };
    return std::visit(visitor{*this}, request);
}

}  // namespace jasminelead::support
