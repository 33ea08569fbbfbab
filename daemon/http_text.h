#pragma once

#include <string>
#include <string_view>

namespace jasminelead::daemon {

inline constexpr std::string_view json_type = "application/json";
inline constexpr std::string_view text_type = "text/plain; version=0.0.4; charset=utf-8";

/// Formats a complete HTTP/1.1 response. `close` adds the header `Connection: close`.
std::string render_response(int status, std::string_view body, std::string_view content_type,
                            bool close);

}  // namespace jasminelead::daemon
