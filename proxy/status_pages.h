#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "daemon/fiber_stream.h"
#include "daemon/worker.h"
#include "proxy/connection_listener.h"

namespace jasminelead::proxy {

struct page {
    unsigned status = 200;
    std::string_view content_type = "text/plain";
    std::string body;
};

/// Returns the page for a request, given its target such as "/metrics" and its body.
using page_source = std::function<page(std::string_view target, std::string_view body)>;

/// HTTP server for probes, monitoring and peers on one address. Belongs to one worker.
class status_pages {
public:
    status_pages(daemon::worker& home, page_source source);

    /// Returns an error message when the address cannot be listened on.
    std::optional<std::string> listen(const std::string& address);
    void stop();

private:
    void serve(daemon::tcp::socket socket);
    bool serve_request(daemon::fiber_stream& stream, std::string& received);
    [[nodiscard]] page make_page(std::string_view target, std::string_view body) const;

    daemon::worker& m_home;
    page_source m_source;
    connection_listener m_listener;
    std::set<daemon::fiber_stream*> m_open;
};

}  // namespace jasminelead::proxy
