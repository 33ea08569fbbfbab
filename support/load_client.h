#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>

/// Blocking HTTP/1.1 client with one persistent connection, for measurements.
namespace jasminelead::support {

class load_client {
public:
    /// Connects to IP:PORT. Throws boost::system::system_error when it cannot.
    explicit load_client(std::string address);

    /// Throws std::runtime_error when no response begins within 10 s or its status is not 200.
    std::string get(std::string_view target);
    std::string post(std::string_view target, std::string_view body);

private:
    std::string call(boost::beast::http::verb verb, std::string_view target, std::string_view body);
    void wait_for_response();

    std::string m_address;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket{m_context};
    boost::beast::flat_buffer m_buffer;
};

}  // namespace jasminelead::support
