#include "json_members.h"

#include <utility>

namespace jasminelead::daemon {

namespace json = boost::json;

json_members::json_members(const json::value& value) : m_object{value.if_object()} {
    if (m_object == nullptr) {
        fail("not a JSON object");
    }
}

void json_members::fail(std::string fault) {
    if (m_fault.empty()) {
        m_fault = std::move(fault);
    }
}

bool json_members::has(std::string_view name) const {
    return m_object != nullptr && m_object->contains(name);
}

const json::value* json_members::optional(std::string_view name) {
    const json::value* const member = m_object == nullptr ? nullptr : m_object->if_contains(name);
    if (member == nullptr) {
        return nullptr;
    }
    ++m_read;
    return member->is_null() ? nullptr : member;
}

const json::value* json_members::required(std::string_view name) {
    const json::value* const member = optional(name);
    if (member == nullptr) {
        fail("member " + std::string{name} + " is missing");
    }
    return member;
}

std::string json_members::text(std::string_view name, std::size_t max_text_bytes) {
    const json::value* const member = required(name);
    if (member == nullptr) {
        return {};
    }
    if (!member->is_string() || member->get_string().size() > max_text_bytes) {
        fail("member " + std::string{name} + " must be a string of at most " +
             std::to_string(max_text_bytes) + " bytes");
        return {};
    }
    return std::string{member->get_string()};
}

std::uint64_t json_members::number(std::string_view name, std::uint64_t min, std::uint64_t max) {
    const json::value* const member = required(name);
    if (member == nullptr) {
        return min;
    }
    boost::system::error_code error;
    const bool is_integer = member->is_int64() || member->is_uint64();
    const auto value = is_integer ? member->to_number<std::uint64_t>(error) : 0;
    if (!is_integer || error || value < min || value > max) {
        fail("member " + std::string{name} + " must be an integer from " + std::to_string(min) +
             " to " + std::to_string(max));
        return min;
    }
    return value;
}

std::int64_t json_members::signed_number(std::string_view name) {
    const json::value* const member = required(name);
    if (member == nullptr) {
        return 0;
    }
    if (!member->is_int64()) {
        fail("member " + std::string{name} + " must be a signed 64-bit integer");
        return 0;
    }
    return member->get_int64();
}

bool json_members::flag(std::string_view name) {
    const json::value* const member = required(name);
    if (member == nullptr) {
        return false;
    }
    if (!member->is_bool()) {
        fail("member " + std::string{name} + " must be true or false");
        return false;
    }
    return member->get_bool();
}

bool json_members::finish() {
    if (m_object != nullptr && m_read != m_object->size()) {
        fail("unknown member");
    }
    return ok();
}

}  // namespace jasminelead::daemon
