#include "soak/http.h"

#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <sstream>
#include <string_view>

namespace jasminelead::soak {
namespace {

constexpr std::string_view digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string unescape(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

void read_target(http_request& request, const std::string& target) {
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos) {
        return;
    }
    std::istringstream parts{target.substr(mark + 1)};
    for (std::string part; std::getline(parts, part, '&');) {
        const std::size_t equals = part.find('=');
        request.query[unescape(part.substr(0, equals))] =
            equals == std::string::npos ? "" : unescape(part.substr(equals + 1));
    }
}

void read_header(http_request& request, const std::string& line) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
        return;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::string value = line.substr(colon + 1);
    const std::size_t first = value.find_first_not_of(' ');
    const std::size_t last = value.find_last_not_of(" \r");
    const bool is_empty = first == std::string::npos || last == std::string::npos;
    request.headers[name] = is_empty ? "" : value.substr(first, last - first + 1);
}

std::optional<http_request> read_request(stream_reader& reader) {
    const auto head = reader.until("\r\n\r\n", forever);
    if (!head) {
        return std::nullopt;
    }
    std::istringstream lines{*head};
    std::string line;
    std::getline(lines, line);
    std::istringstream first{line};
    http_request request;
    std::string target;
    first >> request.method >> target;
    read_target(request, target);
    while (std::getline(lines, line)) {
        read_header(request, line);
    }
    const auto length = request.headers.find("content-length");
    if (length != request.headers.end()) {
        const auto body = reader.exactly(std::stoul(length->second), forever);
        if (!body) {
            return std::nullopt;
        }
        request.body = *body;
    }
    return request;
}

}  // namespace

void http_listener::serve(int fd) {
    stream_reader reader{fd};
    while (const auto request = read_request(reader)) {
        const http_answer answer = m_answer(*request);
        if (answer.fate == answer_fate::silent) {
            while (reader.exactly(1, forever)) {
            }
        }
        if (answer.fate != answer_fate::sent) {
            break;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(answer.status) +
                                 " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                 std::to_string(answer.body.size()) + "\r\n" +
                                 (answer.header.empty() ? "" : answer.header + "\r\n") + "\r\n" +
                                 answer.body;
        if (!send_all(fd, text)) {
            break;
        }
    }
    ::close(fd);
}

std::string to_base64(const std::string& bytes) {
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t word = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            word =
                word << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : digits[word >> (18 - 6 * k) & 63];
        }
    }
    return text;
}

std::string from_base64(const std::string& text) {
    std::string bytes;
    std::uint32_t word = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t value = digits.find(c);
        if (value == std::string_view::npos) {
            break;
        }
        word = word << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(word >> bits & 255);
        }
    }
    return bytes;
}

}  // namespace jasminelead::soak
