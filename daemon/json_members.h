#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelead::daemon {

/// Strict reader of the members of a JSON object. Only the first fault is kept; a failed read
/// returns an empty value. Each member may be read only once, because `finish` detects unknown
/// members by their number.
class json_members {
public:
    explicit json_members(const boost::json::value& value);

    std::string text(std::string_view name, std::size_t max_text_bytes);
    std::uint64_t number(std::string_view name, std::uint64_t min, std::uint64_t max);
    std::int64_t signed_number(std::string_view name);
    bool flag(std::string_view name);
    /// Returns the member, or nullptr when it is absent or a JSON null.
    const boost::json::value* optional(std::string_view name);
    /// Returns the member. A missing member is a fault.
    const boost::json::value* required(std::string_view name);
    [[nodiscard]] bool has(std::string_view name) const;

    void fail(std::string fault);
    /// Fails when there are members that were not read. Returns true when there was no fault.
    bool finish();
    [[nodiscard]] bool ok() const { return m_fault.empty(); }
    [[nodiscard]] const std::string& fault() const { return m_fault; }

private:
    const boost::json::object* m_object;
    std::size_t m_read = 0;
    std::string m_fault;
};

}  // namespace jasminelead::daemon
