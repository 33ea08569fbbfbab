#include "http_pool.h"

#include <algorithm>
#include <utility>

#include "clock.h"

namespace jasminelead::daemon {

http_pool::http_pool(boost::asio::io_context& io, std::size_t max_idle_connections,
                     duration max_idle_time)
    : m_io{io}, m_max_idle_connections{max_idle_connections}, m_max_idle_time{max_idle_time} {}

std::variant<http_response, endpoint_error> http_pool::call(const http_call& request) {
    if (m_closed) {
        return endpoint_error::reset;
    }
    const std::string address{request.address};
    client_ptr client = request.new_connection ? nullptr : acquire_idle(address);
    const bool reused = client != nullptr;
    if (!reused) {
        client = std::make_shared<http_client>(m_io);
    }
    m_active_calls.emplace(client, active_call{address, request.exempt_from_abort});
    answer result = exchange(client, request, reused);
    m_active_calls.erase(client);
    const auto* const error = std::get_if<endpoint_error>(&result);
    if (error == nullptr) {
        return_to_pool(address, std::move(client));
        return result;
    }
    // The server may close an idle connection just before a call.
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
        const steady_time deadline = std::min(request.deadline, request.connect_deadline);
        if (const auto error = client->connect(request.address, deadline)) {
            return *error;
        }
    }
    if (request.sent != nullptr) {
        *request.sent = true;
    }
    return client->exchange(request.method, request.target, request.body, request.deadline,
                            request.headers, request.answer_header);
}

http_pool::client_ptr http_pool::acquire_idle(const std::string& address) {
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        const idle_client last = std::move(idle.back());
        idle.pop_back();
        const bool is_recent = boot_now() - last.since < m_max_idle_time;
        if (is_recent && last.client->is_usable()) {
            return last.client;
        }
    }
    return nullptr;
}

void http_pool::return_to_pool(const std::string& address, client_ptr client) {
    auto& idle = m_idle[address];
    if (!m_closed && idle.size() < m_max_idle_connections && client->is_usable()) {
        idle.push_back({std::move(client), boot_now()});
    }
}

void http_pool::abort(std::string_view address) {
    const auto idle = m_idle.find(address);
    if (idle != m_idle.end()) {
        m_idle.erase(idle);
    }
    for (const auto& [client, busy] : m_active_calls) {
        if (busy.address == address && !busy.exempt_from_abort) {
            client->close();
        }
    }
}

void http_pool::close() {
    m_closed = true;
    m_idle.clear();
    for (const auto& [client, busy] : m_active_calls) {
        client->close();
    }
}

}  // namespace jasminelead::daemon
