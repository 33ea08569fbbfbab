#pragma once

#include <chrono>
#include <optional>
#include <string>

/// A blocking HTTP/1.1 client with a timeout per call.
namespace jasminelead::ctl {

struct http_response {
    unsigned status = 0;
    std::string body;
};

class http_client {
public:
    static constexpr std::chrono::milliseconds default_timeout{5000};

    /// `address` is an IP address and port, such as "127.0.0.1:7400" or "[::1]:7400".
    explicit http_client(std::string address, std::chrono::milliseconds timeout = default_timeout)
        : m_address{std::move(address)}, m_timeout{timeout} {}

    std::optional<http_response> get(const std::string& target);
    std::optional<http_response> post(const std::string& target, const std::string& json_body);
    /// Why the last call returned no response.
    [[nodiscard]] const std::string& last_error() const { return m_last_error; }

private:
    std::optional<http_response> call(bool post, const std::string& target,
                                      const std::string& body);

    std::string m_address;
    std::chrono::milliseconds m_timeout;
    std::string m_last_error;
};

/// Percent-encodes a value for the query of a URL.
std::string percent_encoded(const std::string& text);

}  // namespace jasminelead::ctl
