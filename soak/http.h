#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "soak/sockets.h"

/// A small HTTP/1.1 server for the platform's stand-ins.
namespace jasminelead::soak {

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;  ///< Names in lower case.
    std::string body;
};

/// What happens to an answer on its way.
enum class answer_fate {
    sent,
    silent,  ///< Not sent; the connection stays open and returns nothing further.
    reset,   ///< Not sent; the connection is closed.
};

struct http_answer {
    int status = 200;
    std::string body = "{}";
    answer_fate fate = answer_fate::sent;
    std::string header = "";  ///< One more header line; none if empty.
};

class http_listener {
public:
    using handler = std::function<http_answer(const http_request&)>;
    explicit http_listener(handler answer)
        : m_answer{std::move(answer)}, m_listener{[this](int fd) { serve(fd); }} {}
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

private:
    void serve(int fd);

    handler m_answer;
    listener m_listener;
};

std::string to_base64(const std::string& bytes);
std::string from_base64(const std::string& text);

}  // namespace jasminelead::soak
