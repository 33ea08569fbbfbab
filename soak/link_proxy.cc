#include "soak/link_proxy.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <future>
#include <list>
#include <map>
#include <utility>

namespace jasminelead::soak {
namespace {

using boost::system::error_code;
using steady = std::chrono::steady_clock;

constexpr std::size_t read_size = std::size_t{16} * 1024;
// Bytes that a direction takes from its sender before the receiver has taken them. It is reached by
// a receiver that does not read, and by a delay at high throughput, like the window of a real link.
constexpr std::size_t max_queued_bytes = std::size_t{256} * 1024;
constexpr int listen_backlog = 512;
constexpr auto accept_retry_interval = std::chrono::milliseconds{10};

steady::duration to_steady(duration time) {
    return std::chrono::microseconds{time.us()};
}

bool blocks_connections(const link_condition& condition) {
    return condition.hangs_connections || condition.silent_to_target || condition.silent_to_caller;
}

/// True when the other end has closed or reset the connection, even behind unread bytes.
bool has_other_end_left(tcp::socket& socket) {
    pollfd item{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&item, 1, 0) > 0;
}

void close_with_reset(tcp::socket& socket) {
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

enum class item_kind { bytes, end, reset };

/// What a sender has sent, until the receiver gets it.
struct item {
    item_kind kind = item_kind::bytes;
    std::vector<char> bytes;
    steady::time_point due;
    std::size_t written = 0;
};

/// One direction of a connection.
struct direction {
    direction(boost::asio::io_context& io, tcp::socket& sender, tcp::socket& receiver)
        : from{sender}, to{receiver}, timer{io} {}
    tcp::socket& from;
    tcp::socket& to;
    boost::asio::steady_timer timer;
    std::deque<item> queue;
    std::size_t queued_bytes = 0;
    duration delay;
    bool silent = false;
    bool is_waiting_to_read = false;
    bool is_waiting_to_write = false;
    bool is_sender_reset = false;  ///< Known from a failed write; reading may report a plain end.
    bool is_sender_done = false;   ///< Nothing more is read.
    bool is_end_passed_on = false;
};

/// A connection of a caller. All members are used on the traffic thread only.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::io_context& io, tcp::socket caller, const tcp::endpoint& target)
        : m_caller{std::move(caller)},
          m_target{io},
          m_target_endpoint{target},
          m_to_target{io, m_caller, m_target},
          m_to_caller{io, m_target, m_caller} {}

    std::string caller_name;

    [[nodiscard]] bool is_closed() const { return m_state == state::closed; }
    /// True when bytes cannot pass and both ends have given up, or no target is connected yet.
    bool is_abandoned() {
        return (m_state == state::waiting && m_has_been_blocked && has_other_end_left(m_caller)) ||
               (m_is_silent_for_good && has_other_end_left(m_caller) &&
                has_other_end_left(m_target));
    }

    void set_condition(const link_condition& condition) {
        m_condition = condition;
        if (m_state == state::waiting) {
            establish();
        }
        set(m_to_target, condition.delay_to_target, condition.silent_to_target);
        set(m_to_caller, condition.delay_to_caller, condition.silent_to_caller);
    }
    void silence_for_good() {
        if (m_state == state::connecting || m_state == state::established) {
            m_is_silent_for_good = m_to_target.silent = m_to_caller.silent = true;
        }
    }
    void reset() {
        if (is_closed()) {
            return;
        }
        m_state = state::closed;
        close_with_reset(m_caller);
        close_with_reset(m_target);
        cancel_timers();
    }

private:
    enum class state { waiting, connecting, established, closed };

    /// Starts to connect unless the condition forbids it. The caller's own `connect` has returned
    /// already, so that the round trip of the handshake is waited for here.
    void establish() {
        if (m_condition.refuses_connections) {
            reset();
            return;
        }
        if (blocks_connections(m_condition)) {
            m_has_been_blocked = true;
            return;
        }
        // A caller that gave up while the link was blocked never reached the target.
        if (is_abandoned()) {
            reset();
            return;
        }
        m_state = state::connecting;
        m_to_target.timer.expires_after(
            to_steady(m_condition.delay_to_target + m_condition.delay_to_caller));
        m_to_target.timer.async_wait([self = shared_from_this()](error_code) {
            if (self->m_state == state::connecting) {
                self->connect();
            }
        });
    }
    void connect() {
        if (m_condition.refuses_connections || blocks_connections(m_condition)) {
            m_state = state::waiting;
            establish();
            return;
        }
        m_target.async_connect(m_target_endpoint, [self = shared_from_this()](error_code failed) {
            if (self->is_closed()) {
                return;
            }
            if (failed) {
                self->reset();
                return;
            }
            self->start();
        });
    }
    void start() {
        m_state = state::established;
        error_code ignored;
        for (tcp::socket* const socket : {&m_caller, &m_target}) {
            socket->non_blocking(true, ignored);
            socket->set_option(tcp::no_delay{true}, ignored);
        }
        read(m_to_target);
        read(m_to_caller);
    }

    void set(direction& way, duration delay, bool silent) {
        way.delay = delay;
        if (m_is_silent_for_good) {
            return;
        }
        const bool was_silent = std::exchange(way.silent, silent);
        if (was_silent && !silent && m_state == state::established) {
            end_silence(way);
        }
    }
    /// During a silence nothing is read, so that held bytes stay in bounded buffers. An end that
    /// was read before the silence does not count as sent meanwhile.
    void end_silence(direction& way) {
        error_code ignored;
        const bool has_held_bytes = way.queued_bytes + way.from.available(ignored) > 0;
        if (!way.is_sender_done && has_held_bytes && has_other_end_left(way.from)) {
            way.queue.clear();
            way.queued_bytes = 0;
            // A plain end would present the truncated stream as complete.
            finish(way, item_kind::reset);
        }
        read(way);
        write(way);
    }

    void read(direction& way) {
        if (is_closed() || way.silent || way.is_sender_done || way.is_waiting_to_read ||
            way.queued_bytes >= max_queued_bytes) {
            return;
        }
        way.is_waiting_to_read = true;
        way.from.async_wait(tcp::socket::wait_read, [self = shared_from_this(), &way](error_code) {
            way.is_waiting_to_read = false;
            if (!self->is_closed() && !way.silent && !way.is_sender_done) {
                self->read_available(way);
            }
        });
    }
    void read_available(direction& way) {
        item received;
        received.bytes.resize(read_size);
        error_code failed;
        const std::size_t size = way.from.read_some(boost::asio::buffer(received.bytes), failed);
        if (failed == boost::asio::error::would_block) {
            read(way);
            return;
        }
        if (failed) {
            const bool is_end = failed == boost::asio::error::eof && !way.is_sender_reset;
            finish(way, is_end ? item_kind::end : item_kind::reset);
            return;
        }
        received.bytes.resize(size);
        way.queued_bytes += size;
        enqueue(way, std::move(received));
        read(way);
    }
    void finish(direction& way, item_kind kind) {
        way.is_sender_done = true;
        item last;
        last.kind = kind;
        enqueue(way, std::move(last));
    }
    void enqueue(direction& way, item added) {
        added.due = steady::now() + to_steady(way.delay);
        way.queue.push_back(std::move(added));
        write(way);
    }

    void write(direction& way) {
        while (!is_closed() && !way.silent && !way.is_waiting_to_write && !way.queue.empty()) {
            item& next = way.queue.front();
            if (next.due > steady::now()) {
                way.is_waiting_to_write = true;
                way.timer.expires_at(next.due);
                way.timer.async_wait(write_again(way));
                return;
            }
            if (next.kind == item_kind::bytes) {
                write_bytes(way, next);
            } else {
                pass_on(way, next.kind);
            }
        }
    }
    std::function<void(error_code)> write_again(direction& way) {
        return [self = shared_from_this(), &way](error_code) {
            way.is_waiting_to_write = false;
            self->write(way);
            self->read(way);
        };
    }
    void write_bytes(direction& way, item& next) {
        error_code failed;
        const auto rest = boost::asio::buffer(next.bytes) + next.written;
        const std::size_t size = way.to.write_some(rest, failed);
        if (failed == boost::asio::error::would_block) {
            way.is_waiting_to_write = true;
            way.to.async_wait(tcp::socket::wait_write, write_again(way));
            return;
        }
        if (failed) {
            receiver_left(way);
            return;
        }
        next.written += size;
        way.queued_bytes -= size;
        if (next.written == next.bytes.size()) {
            way.queue.pop_front();
        }
    }
    /// The reset travels in the other direction, with its delay and silence.
    void receiver_left(direction& way) {
        way.queue.clear();
        way.queued_bytes = 0;
        way.is_sender_done = true;
        direction& back = &way == &m_to_target ? m_to_caller : m_to_target;
        back.is_sender_reset = true;
        if (back.is_sender_done) {
            finish(back, item_kind::reset);
        }
    }
    void pass_on(direction& way, item_kind kind) {
        if (kind == item_kind::reset) {
            reset();
            return;
        }
        way.queue.pop_front();
        way.is_end_passed_on = true;
        error_code ignored;
        way.to.shutdown(tcp::socket::shutdown_send, ignored);
        if (m_to_target.is_end_passed_on && m_to_caller.is_end_passed_on) {
            m_state = state::closed;
            m_caller.close(ignored);
            m_target.close(ignored);
            cancel_timers();
        }
    }
    void cancel_timers() {
        m_to_target.timer.cancel();
        m_to_caller.timer.cancel();
    }

    tcp::socket m_caller;
    tcp::socket m_target;
    tcp::endpoint m_target_endpoint;
    direction m_to_target;
    direction m_to_caller;
    link_condition m_condition;
    state m_state = state::waiting;
    bool m_has_been_blocked = false;
    bool m_is_silent_for_good = false;
};

}  // namespace

link_condition combine(const link_condition& one, const link_condition& other) {
    return {std::max(one.delay_to_target, other.delay_to_target),
            std::max(one.delay_to_caller, other.delay_to_caller),
            one.silent_to_target || other.silent_to_target,
            one.silent_to_caller || other.silent_to_caller,
            one.refuses_connections || other.refuses_connections,
            one.hangs_connections || other.hangs_connections};
}

link_threads::link_threads()
    : m_work{m_io.get_executor()}, m_naming{1}, m_traffic{[this] { m_io.run(); }} {}

link_threads::~link_threads() {
    m_naming.join();
    m_work.reset();
    m_io.stop();
    m_traffic.join();
}

namespace detail {

/// The listener and the connections of a proxy. Used on the traffic thread only.
class link_table : public std::enable_shared_from_this<link_table> {
public:
    link_table(link_threads& threads, const tcp::endpoint& target, link_proxy::caller_naming naming,
               std::uint16_t port)
        : m_threads{threads},
          m_target{target},
          m_naming{std::move(naming)},
          m_acceptor{threads.io()},
          m_filler{threads.io()},
          m_retry{threads.io()} {
        bind(port);
        if (port == 0) {
            // Only a port that was bound by its number stays bound while connections are refused.
            const std::uint16_t found = m_acceptor.local_endpoint().port();
            m_acceptor.close();
            bind(found);
        }
        m_endpoint = m_acceptor.local_endpoint();
        m_acceptor.listen(listen_backlog);
    }

    [[nodiscard]] const tcp::endpoint& endpoint() const { return m_endpoint; }

    void accept() {
        m_acceptor.async_accept([self = shared_from_this()](error_code failed, tcp::socket caller) {
            self->accepted(failed, std::move(caller));
        });
    }
    void close() {
        m_mode = listen_mode::closed;
        m_acceptor.close();
        m_filler.close();
        m_retry.cancel();
        for_each(std::nullopt, [](connection& item) { item.reset(); });
        m_connections.clear();
    }
    void set_condition(const std::optional<std::string>& caller, const link_condition& condition) {
        (caller ? m_by_caller[*caller] : m_for_all) = condition;
        if (!caller) {
            set_mode(m_for_all.refuses_connections   ? listen_mode::refusing
                     : blocks_connections(m_for_all) ? listen_mode::hanging
                                                     : listen_mode::open);
        }
        for_each(caller,
                 [this](connection& item) { item.set_condition(condition_of(item.caller_name)); });
    }
    template <typename Change>
    void for_each(const std::optional<std::string>& caller, const Change& change) {
        for (const auto& item : m_connections) {
            if (!caller || item->caller_name == *caller) {
                change(*item);
            }
        }
    }
    std::size_t count_open(const std::optional<std::string>& caller) {
        remove_ended();
        std::size_t count = 0;
        for_each(caller, [&count](connection&) { ++count; });
        return count;
    }

private:
    enum class listen_mode { open, refusing, hanging, closed };

    void bind(std::uint16_t port) {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(boost::asio::socket_base::reuse_address{true});
        m_acceptor.bind({boost::asio::ip::address_v4::loopback(), port});
    }
    link_condition condition_of(const std::string& caller) {
        const auto found = m_by_caller.find(caller);
        return found == m_by_caller.end() ? m_for_all : combine(m_for_all, found->second);
    }
    void accepted(error_code failed, tcp::socket caller) {
        if (!failed) {
            name_caller(std::move(caller));
        }
        // A change of the mode cancels the wait, and starts another if it is needed.
        if (m_mode != listen_mode::open || failed == boost::asio::error::operation_aborted) {
            return;
        }
        if (!failed) {
            accept();
            return;
        }
        // Without a free descriptor the next attempt would fail at once.
        m_retry.expires_after(accept_retry_interval);
        m_retry.async_wait([self = shared_from_this()](error_code is_cancelled) {
            if (!is_cancelled && self->m_mode == listen_mode::open) {
                self->accept();
            }
        });
    }
    void name_caller(tcp::socket socket) {
        error_code failed;
        const tcp::endpoint caller = socket.remote_endpoint(failed);
        if (!failed && caller.port() == m_filler_port) {
            m_filler_port = 0;
            return;
        }
        if (failed) {
            return;
        }
        auto added = std::make_shared<connection>(m_threads.io(), std::move(socket), m_target);
        boost::asio::post(m_threads.naming(), [self = shared_from_this(), added = std::move(added),
                                               caller]() mutable {
            added->caller_name = self->m_naming(caller, self->m_endpoint);
            boost::asio::io_context& io = self->m_threads.io();
            boost::asio::post(
                io, [self = std::move(self), added = std::move(added)] { self->add(added); });
        });
    }
    void add(const std::shared_ptr<connection>& added) {
        if (m_mode == listen_mode::closed) {
            added->reset();
            return;
        }
        remove_ended();
        m_connections.push_back(added);
        added->set_condition(condition_of(added->caller_name));
    }
    void remove_ended() {
        for_each(std::nullopt, [](connection& item) {
            if (!item.is_closed() && item.is_abandoned()) {
                item.reset();
            }
        });
        m_connections.remove_if([](const auto& item) { return item->is_closed(); });
    }
    void set_mode(listen_mode mode) {
        if (std::exchange(m_mode, mode) == mode) {
            return;
        }
        m_acceptor.cancel();
        m_retry.cancel();
        unblock_backlog();
        if (mode == listen_mode::refusing) {
            ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
            m_filler_port = 0;
        } else if (mode == listen_mode::hanging) {
            block_backlog();
        } else {
            m_acceptor.listen(listen_backlog);
            accept();
        }
    }
    /// One connection that is not accepted fills a queue of length 0, so that the system drops the
    /// opening packets of others. Their callers send them again after a second.
    void block_backlog() {
        m_acceptor.listen(0);
        m_filler.open(tcp::v4());
        m_filler.bind({boost::asio::ip::address_v4::loopback(), 0});
        m_filler_port = m_filler.local_endpoint().port();
        m_filler.async_connect(m_endpoint, [self = shared_from_this()](error_code) {});
    }

    /// A filler that was connected is accepted later, and recognised by its port.
    void unblock_backlog() {
        error_code is_not_connected;
        if (m_filler.is_open()) {
            m_filler.remote_endpoint(is_not_connected);
            m_filler_port = is_not_connected ? 0 : m_filler_port;
            m_filler.close();
        }
    }

    link_threads& m_threads;
    tcp::endpoint m_target;
    link_proxy::caller_naming m_naming;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    tcp::socket m_filler;
    std::uint16_t m_filler_port = 0;
    boost::asio::steady_timer m_retry;
    listen_mode m_mode = listen_mode::open;
    std::list<std::shared_ptr<connection>> m_connections;
    link_condition m_for_all;
    std::map<std::string, link_condition> m_by_caller;
};

}  // namespace detail

namespace {

/// Runs a function on the threads of an executor and waits for its result.
template <typename Executor, typename Function>
auto run_on(Executor& executor, const Function& function) {
    const auto task = std::make_shared<std::packaged_task<decltype(function())()>>(function);
    boost::asio::post(executor, [task] { (*task)(); });
    return task->get_future().get();
}

}  // namespace

link_proxy::caller_naming link_proxy::name_by_process() {
    return [finder = process_finder{}](const tcp::endpoint& caller,
                                       const tcp::endpoint& listener) mutable {
        const auto process = finder.find(caller, listener);
        return process ? std::to_string(*process) : std::string{};
    };
}

link_proxy::link_proxy(link_threads& threads, const tcp::endpoint& target, caller_naming naming,
                       std::uint16_t port)
    : m_threads{threads},
      m_table{std::make_shared<detail::link_table>(threads, target, std::move(naming), port)} {
    run_on(m_threads.io(), [this] { m_table->accept(); });
}

link_proxy::~link_proxy() {
    run_on(m_threads.io(), [this] { m_table->close(); });
    // The function that names callers may use what is destroyed after the proxy.
    run_on(m_threads.naming(), [] {});
}

tcp::endpoint link_proxy::endpoint() const {
    return m_table->endpoint();
}

std::string link_proxy::address() const {
    return endpoint().address().to_string() + ":" + std::to_string(endpoint().port());
}

void link_proxy::set_condition(const link_condition& condition) {
    run_on(m_threads.io(), [&] { m_table->set_condition(std::nullopt, condition); });
}

void link_proxy::set_condition(const std::string& caller, const link_condition& condition) {
    run_on(m_threads.io(), [&] { m_table->set_condition(caller, condition); });
}

void link_proxy::reset(const std::optional<std::string>& caller) {
    run_on(m_threads.io(), [&] { m_table->for_each(caller, [](auto& item) { item.reset(); }); });
}

void link_proxy::silence_open_connections(const std::optional<std::string>& caller) {
    run_on(m_threads.io(),
           [&] { m_table->for_each(caller, [](auto& item) { item.silence_for_good(); }); });
}

std::size_t link_proxy::open_connections(const std::optional<std::string>& caller) const {
    return run_on(m_threads.io(), [&] { return m_table->count_open(caller); });
}

}  // namespace jasminelead::soak
