#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "address_book.h"
#include "event_sink.h"
#include "fiber_event.h"
#include "http_pool.h"
#include "worker.h"

namespace jasminelead::daemon {

/// Returns nullopt when the text is not a complete and valid host list.
std::optional<host_list> parse_host_list(std::string_view body);

/// Sends key-value calls to the store and polls the host list. All functions run on the thread of
/// one worker.
class store_client {
public:
    store_client(worker& io_worker, std::string address, address_book& addresses,
                 event_sink events);

    /// Starts polling the host list.
    void start();
    void call(store_call request);
    void stop();

private:
    store_result perform(const store_request& request);
    void poll_hosts();
    bool poll_once();
    void wait_before_next_poll(bool polled);

    worker& m_worker;
    std::string m_address;
    address_book& m_addresses;
    event_sink m_events;
    http_pool m_pool;
    boost::asio::steady_timer m_timer;
    fiber_event m_wake;
    std::minstd_rand m_random;
    bool m_stopped = false;
};

}  // namespace jasminelead::daemon
