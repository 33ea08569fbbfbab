#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelead::daemon {

/// Reads the members of one JSON object strictly. The first fault is kept; later reads return
/// empty values. Each member is read once, so that `finish` can tell unknown members.
class json_members {
public:
    explicit json_members(const boost::json::value& value);

    std::string text(std::string_view name, std::size_t max_text_bytes);
    std::uint64_t number(std::string_view name, std::uint64_t min, std::uint64_t max);
    std::int64_t signed_number(std::string_view name);
    bool flag(std::string_view name);
    /// The member, or null when it is absent or null in the JSON text.
    const boost::json::value* optional(std::string_view name);
    /// The member; a fault when it is absent.
    const boost::json::value* required(std::string_view name);
    [[nodiscard]] bool has(std::string_view name) const;

    void fail(std::string fault);
    /// Refuses members that were not read. True when there was no fault.
    bool finish();
    [[nodiscard]] bool ok() const { return m_fault.empty(); }
    [[nodiscard]] const std::string& fault() const { return m_fault; }

private:
    const boost::json::object* m_object;
    std::size_t m_read = 0;
    std::string m_fault;
};

}  // namespace jasminelead::daemon
