#include "http_pool.h"

#include <utility>

namespace jasminelead::daemon {

http_pool::http_pool(boost::asio::io_context& io, std::size_t most_idle)
    : m_io{io}, m_most_idle{most_idle} {}

std::variant<http_response, endpoint_error> http_pool::call(const http_call& request) {
    if (m_closed) {
        return endpoint_error::reset;
    }
    const std::string address{request.address};
    client_ptr client = request.new_connection ? nullptr : take_idle(address);
    const bool reused = client != nullptr;
    if (!reused) {
        client = std::make_shared<http_client>(m_io);
    }
    m_busy.insert(client);
    answer result = exchange(client, request, reused);
    m_busy.erase(client);
    const auto* const error = std::get_if<endpoint_error>(&result);
    if (error == nullptr) {
        keep(address, std::move(client));
        return result;
    }
    // The other side may close an idle connection just before a call.
    if (reused && request.repeatable && *error == endpoint_error::reset) {
        http_call again = request;
        again.new_connection = true;
        return call(again);
    }
    return result;
}

http_pool::answer http_pool::exchange(const client_ptr& client, const http_call& request,
                                      bool reused) {
    if (!reused) {
        if (const auto error = client->connect(request.address, request.deadline)) {
            return *error;
        }
    }
    return client->exchange(request.method, request.target, request.body, request.deadline,
                            request.headers);
}

http_pool::client_ptr http_pool::take_idle(const std::string& address) {
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        client_ptr client = std::move(idle.back());
        idle.pop_back();
        if (client->is_usable()) {
            return client;
        }
    }
    return nullptr;
}

void http_pool::keep(const std::string& address, client_ptr client) {
    auto& idle = m_idle[address];
    if (!m_closed && idle.size() < m_most_idle && client->is_usable()) {
        idle.push_back(std::move(client));
    }
}

void http_pool::close() {
    m_closed = true;
    m_idle.clear();
    for (const client_ptr& client : m_busy) {
        client->close();
    }
}

}  // namespace jasminelead::daemon
