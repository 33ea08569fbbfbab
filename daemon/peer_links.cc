#include "peer_links.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace jasminelead::daemon {
namespace {

using steady_clock = std::chrono::steady_clock;

constexpr double initial_backoff_ms = 50;
constexpr double max_backoff_ms = 1000;
constexpr unsigned max_backoff_doublings = 5;
// A peer opens one link. After a restart it may have another one until the old link is detected
// as dead.
constexpr std::size_t max_incoming_links = 4;

}  // namespace

peer_links::peer_links(worker& io_worker, host_id self, const address_book& addresses,
                       event_sink events, counter count)
    : m_worker{io_worker},
      m_self{std::move(self)},
      m_addresses{addresses},
      m_events{std::move(events)},
      m_count{std::move(count)},
      m_random{std::random_device{}()} {}

void peer_links::send(const send_peer& message) {
    const link_ptr link = m_stopped ? nullptr : select_link(m_peers[message.to], message);
    if (link != nullptr && link->send(message.message)) {
        return;
    }
    if (const auto* const call = std::get_if<statement_call>(&message.message)) {
        emit(m_events, peer_call_unsent{message.to, call->id});
        return;
    }
    on_message_dropped("no_link");
}

peer_links::link_ptr peer_links::select_link(peer& to, const send_peer& message) {
    const bool is_call = std::holds_alternative<statement_call>(message.message);
    // Calls use the outgoing link while it exists, so that its loss means the loss of all calls in
    // flight.
    if (to.outgoing != nullptr && (is_call || to.outgoing->is_open() || to.incoming.empty())) {
        return to.outgoing;
    }
    if (!to.incoming.empty()) {
        return to.incoming.back();
    }
    return open(to, message.to);
}

peer_links::link_ptr peer_links::open(peer& to, const host_id& host) {
    if (steady_clock::now() < to.retry_at) {
        return nullptr;
    }
    const auto text = m_addresses.address_of(host);
    const auto address = text ? parse_address(*text) : std::nullopt;
    if (!address) {
        return nullptr;
    }
    to.outgoing = std::make_shared<peer_link>(m_worker, m_self, host, *this);
    to.outgoing->open(*address);
    return to.outgoing;
}

void peer_links::adopt(const host_id& from, tcp::socket socket, std::string received) {
    if (m_stopped) {
        return;
    }
    if (m_peers[from].incoming.size() >= max_incoming_links) {
        const link_ptr oldest = m_peers[from].incoming.front();
        oldest->close();
        on_link_lost(*oldest, endpoint_error::reset, {});
    }
    peer& entry = m_peers[from];
    const auto link = std::make_shared<peer_link>(m_worker, m_self, from, *this);
    entry.incoming.push_back(link);
    link->adopt(std::move(socket), std::move(received));
}

void peer_links::on_link_opened(peer_link& link) {
    peer& entry = m_peers[link.peer()];
    entry.failures = 0;
    entry.retry_at = {};
}

void peer_links::on_events_received(std::span<event> events) {
    m_events(events);
}

void peer_links::on_link_lost(peer_link& link, endpoint_error error,
                              std::span<const call_id> unsent) {
    peer& entry = m_peers[link.peer()];
    bool should_report = true;
    if (entry.outgoing.get() == &link) {
        entry.outgoing = nullptr;
        delay_next_connect(entry);
    } else {
        std::erase_if(entry.incoming, [&link](const auto& item) { return item.get() == &link; });
        const bool last = entry.outgoing == nullptr && entry.incoming.empty();
        should_report = link.has_calls() || last;
    }
    const host_id host = link.peer();
    if (entry.outgoing == nullptr && entry.incoming.empty() && entry.failures == 0) {
        m_peers.erase(host);
    }
    std::vector<event> events;
    for (const call_id& call : unsent) {
        events.emplace_back(peer_call_unsent{host, call});
    }
    if (should_report) {
        events.emplace_back(peer_failed{host, error});
    }
    if (!m_stopped && !events.empty()) {
        m_events(events);
    }
}

void peer_links::delay_next_connect(peer& to) {
    const double base = initial_backoff_ms * static_cast<double>(1U << to.failures);
    const double jitter = std::uniform_real_distribution<double>{0.5, 1.0}(m_random);
    const double wait_ms = std::min(base, max_backoff_ms) * jitter;
    to.retry_at = steady_clock::now() + std::chrono::milliseconds{static_cast<int>(wait_ms)};
    to.failures = std::min(to.failures + 1, max_backoff_doublings);
}

void peer_links::on_message_dropped(std::string_view what) {
    m_count("peer_dropped", what);
}

void peer_links::stop() {
    m_stopped = true;
    for (auto& [host, entry] : m_peers) {
        if (entry.outgoing != nullptr) {
            entry.outgoing->close();
        }
        for (const link_ptr& link : entry.incoming) {
            link->close();
        }
    }
    m_peers.clear();
}

}  // namespace jasminelead::daemon
