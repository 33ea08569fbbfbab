#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "fiber_stream.h"
#include "jasminelead/messages.h"

namespace jasminelead::daemon {

struct http_response {
    unsigned status = 0;
    std::string body;
    std::string header;  ///< Value of the header that the call asked for; empty without it.
    bool keep_alive = false;
};

struct http_header {
    std::string_view name;
    std::string_view value;
};

/// An HTTP/1.1 connection to an endpoint or the store. Calls suspend the calling fiber; only one
/// request may be in progress.
class http_client {
public:
    explicit http_client(boost::asio::io_context& io) : m_stream{io} {}

    std::optional<endpoint_error> connect(std::string_view address, steady_time deadline);
    /// Sends a request and reads its response. After an error the connection is reset, so that no
    /// queued bytes of the request are delivered later. After a response without keep-alive it is
    /// closed. `answer_header` names the header of the response to return.
    std::variant<http_response, endpoint_error> exchange(std::string_view method,
                                                         std::string_view target,
                                                         std::string_view body,
                                                         steady_time deadline,
                                                         std::span<const http_header> headers = {},
                                                         std::string_view answer_header = {});
    /// Calls the callback once when bytes arrive or the connection ends.
    template <class Callback>
    void when_readable(Callback callback) {
        m_stream.socket().async_wait(
            tcp::socket::wait_read,
            [callback = std::move(callback)](const boost::system::error_code&) { callback(); });
    }
    /// False when the server has closed the connection or sent unsolicited bytes.
    [[nodiscard]] bool is_usable();
    void close() { m_stream.close(); }

private:
    std::variant<http_response, endpoint_error> read_response(steady_time deadline,
                                                              std::string_view answer_header);
    endpoint_error fail(const boost::system::error_code& error);

    fiber_stream m_stream;
    std::string m_host;
    boost::beast::flat_buffer m_received;
};

}  // namespace jasminelead::daemon
