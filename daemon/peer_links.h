#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "address_book.h"
#include "event_sink.h"
#include "peer_link.h"
#include "worker.h"

namespace jasminelead::daemon {

/// The links to the peers that are assigned to one worker. All functions run on its thread.
class peer_links : public peer_link_listener {
public:
    using counter = std::function<void(std::string_view counter, std::string_view label)>;

    peer_links(worker& io_worker, host_id self, const address_book& addresses, event_sink events,
               counter count);

    /// Sends over an existing link or opens one. A statement call that cannot be sent is reported
    /// to the kernel as unsent; other messages are dropped and counted.
    void send(const send_peer& message);
    /// Adds an incoming connection that was already upgraded.
    void adopt(const host_id& from, tcp::socket socket, std::string received);
    void stop();

    void on_link_opened(peer_link& link) override;
    void on_events_received(std::span<event> events) override;
    void on_link_lost(peer_link& link, endpoint_error error,
                      std::span<const call_id> unsent) override;
    void on_message_dropped(std::string_view what) override;

private:
    using link_ptr = std::shared_ptr<peer_link>;
    struct peer {
        link_ptr outgoing;
        std::vector<link_ptr> incoming;  // Oldest first.
        steady_time retry_at;
        unsigned failures = 0;
    };
    link_ptr select_link(peer& to, const send_peer& message);
    link_ptr open(peer& to, const host_id& host);
    void delay_next_connect(peer& to);

    worker& m_worker;
    host_id m_self;
    const address_book& m_addresses;
    event_sink m_events;
    counter m_count;
    std::map<host_id, peer> m_peers;
    std::minstd_rand m_random;
    bool m_stopped = false;
};

}  // namespace jasminelead::daemon
