#include "http_text.h"

// string_view.hpp of Boost.Core 1.81 requires the complete stream type.
#include <boost/beast/http/status.hpp>
#include <ostream>

namespace jasminelead::daemon {

std::string render_response(int status, std::string_view body, std::string_view content_type,
                            bool close) {
    constexpr std::size_t head_bytes = 160;
    const auto reason =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    std::string text;
    text.reserve(body.size() + head_bytes);
    text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
    text.append(reason.data(), reason.size());
    text.append("\r\nContent-Type: ").append(content_type);
    text.append("\r\nContent-Length: ").append(std::to_string(body.size()));
    text.append(close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n");
    text.append(body);
    return text;
}

}  // namespace jasminelead::daemon
