#pragma once

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <optional>
#include <string>

namespace jasminelead::support {

/// Reads one line of the line protocol and returns it without its end, a carriage return and a line
/// feed. Either byte alone is part of the line. Returns nothing when the connection has ended.
inline std::optional<std::string> read_line(boost::asio::ip::tcp::socket& socket,
                                            boost::asio::streambuf& buffer) {
    constexpr std::size_t end_size = 2;
    boost::system::error_code error;
    const std::size_t size = boost::asio::read_until(socket, buffer, "\r\n", error);
    if (error) {
        return std::nullopt;
    }
    const auto begin = boost::asio::buffers_begin(buffer.data());
    std::string line{begin, begin + static_cast<std::ptrdiff_t>(size - end_size)};
    buffer.consume(size);
    return line;
}

}  // namespace jasminelead::support
