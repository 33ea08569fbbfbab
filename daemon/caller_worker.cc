#include "caller_worker.h"

#include <array>
#include <utility>

namespace jasminelead::daemon {
namespace {

// The 8 high bits of a request id are the worker index, the others a sequence number.
constexpr unsigned worker_shift = 56;
constexpr std::array<std::string_view, 3> outcome_names = {"done", "not_run", "unknown"};

}  // namespace

caller_worker::caller_worker(worker& io_worker, caller_shared_state& shared, unsigned index)
    : m_worker{io_worker}, m_shared{shared}, m_next_id{request_id{index} << worker_shift} {}

unsigned caller_worker::worker_index_of(request_id id) {
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

void caller_worker::submit(const std::shared_ptr<caller_connection>& from, std::uint64_t sequence,
                           parsed_request request) {
    const request_id id = ++m_next_id;
    request.request.id = id;
    m_pending_requests[id] = {from, sequence, std::move(request.caller_id)};
    m_shared.counters.add_requests_in_progress(1);
    emit(m_shared.events, std::move(request.request));
}

void caller_worker::deliver(const caller_reply& reply) {
    const auto found = m_pending_requests.find(reply.id);
    if (found == m_pending_requests.end()) {
        m_shared.counters.count("refused", "reply_without_request");
        return;
    }
    const pending_request request = std::move(found->second);
    m_pending_requests.erase(found);
    m_shared.counters.add_requests_in_progress(-1);
    m_shared.counters.count("replies", outcome_names.at(reply.result.index()));
    if (const auto connection = request.connection.lock()) {
        connection->reply(request.sequence, render_reply(reply, request.caller_id));
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
