#include "caller_worker.h"

#include <array>
#include <utility>

namespace jasminelead::daemon {
namespace {

// The highest bits of a request id name the worker, the others count.
constexpr unsigned worker_shift = 56;
constexpr std::array<std::string_view, 3> outcome_names = {"done", "not_run", "unknown"};

}  // namespace

caller_worker::caller_worker(worker& home, caller_shared& shared, unsigned index)
    : m_home{home}, m_shared{shared}, m_next_id{request_id{index} << worker_shift} {}

unsigned caller_worker::index_of(request_id id) {
    return static_cast<unsigned>(id >> worker_shift);
}

void caller_worker::add(tcp::socket socket, bool over_limit) {
    if (m_stopped) {
        return;
    }
    const auto connection =
        std::make_shared<caller_connection>(*this, std::move(socket), over_limit);
    m_connections.insert(connection);
    connection->start();
}

void caller_worker::remove(const std::shared_ptr<caller_connection>& connection) {
    m_connections.erase(connection);
}

void caller_worker::submit(const std::shared_ptr<caller_connection>& from, std::uint64_t place,
                           parsed_request request) {
    const request_id id = ++m_next_id;
    request.request.id = id;
    m_waiting[id] = {from, place, std::move(request.caller_id)};
    m_shared.counters.add_requests_in_progress(1);
    emit(m_shared.events, std::move(request.request));
}

void caller_worker::deliver(const caller_reply& reply) {
    const auto found = m_waiting.find(reply.id);
    if (found == m_waiting.end()) {
        m_shared.counters.count("refused", "reply_without_request");
        return;
    }
    const waiting request = std::move(found->second);
    m_waiting.erase(found);
    m_shared.counters.add_requests_in_progress(-1);
    m_shared.counters.count("replies", outcome_names.at(reply.result.index()));
    if (const auto connection = request.connection.lock()) {
        connection->reply(request.place, render_reply(reply, request.caller_id));
    }
}

void caller_worker::stop() {
    m_stopped = true;
    const auto connections = std::exchange(m_connections, {});
    for (const auto& connection : connections) {
        connection->close();
    }
}

}  // namespace jasminelead::daemon
