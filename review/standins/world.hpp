// A small deployment for the review's scripts: the users' store and promotion call, database
// instances, and clients, as the users' pages describe them, in one process; the daemons are
// started as separate processes.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace world {

namespace json = boost::json;
using lock_type = std::unique_lock<std::mutex>;

inline const std::chrono::steady_clock::time_point start_time = std::chrono::steady_clock::now();

inline double now_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start_time)
        .count();
}

inline void sleep_ms(double ms) {
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
    }
}

/// Writes what was sent, answered and run, one line each, with the time since the start.
class recorder {
public:
    explicit recorder(const std::string& path) : m_file{path} {}
    void write(const std::string& line) {
        const std::lock_guard lock{m_lock};
        char time[32];
        std::snprintf(time, sizeof time, "%10.1f ", now_ms());
        m_file << time << line << std::endl;
    }

private:
    std::mutex m_lock;
    std::ofstream m_file;
};

inline std::unique_ptr<recorder> record;

/// Makes control characters visible.
inline std::string shown(const std::string& text) {
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
        } else if (c == '\r') {
            result += "\\r";
        } else {
            result += c;
        }
    }
    return result;
}

// Sockets.

inline int listen_on(std::uint16_t& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    socklen_t size = sizeof at;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

/// A port below those that the system gives to outgoing connections.
inline std::uint16_t free_port() {
    static std::mutex lock;
    static std::uint16_t next = static_cast<std::uint16_t>(20000 + ::getpid() % 300 * 40);
    const std::lock_guard guard{lock};
    for (;;) {
        std::uint16_t port = next++;
        const int fd = listen_on(port);
        if (fd >= 0) {
            ::close(fd);
            return port;
        }
    }
}

inline std::string address_of(std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

inline int connect_to(std::uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

/// The processes that were started, so that an instance can tell who is connected to it.
inline std::mutex started_lock;
inline std::set<pid_t> started_processes;

/// The started process at the other end of a connection; 0 if it is none of them.
inline pid_t owner_of(int fd) {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) {
        return 0;
    }
    char local[16];
    std::snprintf(local, sizeof local, ":%04X", ntohs(peer.sin_port));
    std::string inode;
    std::ifstream table{"/proc/self/net/tcp"};
    for (std::string line; std::getline(table, line);) {
        std::istringstream words{line};
        std::vector<std::string> columns{std::istream_iterator<std::string>{words}, {}};
        if (columns.size() > 9 && columns[1].ends_with(local) && columns[3] == "01") {
            inode = "socket:[" + columns[9] + "]";
        }
    }
    const std::lock_guard lock{started_lock};
    for (const pid_t pid : started_processes) {
        std::error_code error;
        const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
        for (const auto& item : std::filesystem::directory_iterator{folder, error}) {
            if (std::filesystem::read_symlink(item.path(), error).string() == inode) {
                return pid;
            }
        }
    }
    return 0;
}

/// Reads up to an end mark; empty when the connection ends or the time is over.
class stream_reader {
public:
    explicit stream_reader(int fd) : m_fd{fd} {}
    std::optional<std::string> until(const std::string& end, double deadline) {
        for (;;) {
            const std::size_t at = m_bytes.find(end);
            if (at != std::string::npos) {
                std::string part = m_bytes.substr(0, at);
                m_bytes.erase(0, at + end.size());
                return part;
            }
            if (!more(deadline)) {
                return std::nullopt;
            }
        }
    }
    std::optional<std::string> exactly(std::size_t size, double deadline) {
        while (m_bytes.size() < size) {
            if (!more(deadline)) {
                return std::nullopt;
            }
        }
        std::string part = m_bytes.substr(0, size);
        m_bytes.erase(0, size);
        return part;
    }
    [[nodiscard]] bool timed_out() const { return m_timed_out; }

private:
    bool more(double deadline) {
        pollfd item{m_fd, POLLIN, 0};
        const double left = deadline - now_ms();
        if (left <= 0 || ::poll(&item, 1, static_cast<int>(left) + 1) <= 0) {
            m_timed_out = true;
            return false;
        }
        char bytes[8192];
        const ssize_t size = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        m_bytes.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    int m_fd;
    std::string m_bytes;
    bool m_timed_out = false;
};

constexpr double forever = 1e12;

/// Accepts connections and serves each in a thread of its own, until the process ends.
class listener {
public:
    using handler = std::function<void(int fd)>;
    explicit listener(handler serve) : m_serve{std::move(serve)} {
        m_fd = listen_on(m_port);
        std::thread{[this] { run(); }}.detach();
    }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /// New connections are refused from now on.
    void stop() { ::shutdown(m_fd, SHUT_RDWR); }

private:
    void run() {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                ::close(m_fd);
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread{[this, fd] { m_serve(fd); }}.detach();
        }
    }

    std::uint16_t m_port = 0;
    int m_fd = -1;
    handler m_serve;
};

// HTTP.

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct http_answer {
    int status = 200;
    std::string body = "{}";
    bool silent = false;  ///< Gives no answer; the connection stays open.
};

inline std::string unescape(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

inline std::optional<http_request> read_request(stream_reader& reader) {
    const auto head = reader.until("\r\n\r\n", forever);
    if (!head) {
        return std::nullopt;
    }
    std::istringstream lines{*head};
    std::string line;
    std::getline(lines, line);
    std::istringstream first{line};
    http_request request;
    std::string target;
    first >> request.method >> target;
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        std::istringstream parts{target.substr(mark + 1)};
        for (std::string part; std::getline(parts, part, '&');) {
            const std::size_t equals = part.find('=');
            request.query[unescape(part.substr(0, equals))] =
                equals == std::string::npos ? "" : unescape(part.substr(equals + 1));
        }
    }
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        std::string value = line.substr(colon + 1);
        while (!value.empty() && (value.front() == ' ')) {
            value.erase(0, 1);
        }
        while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
            value.pop_back();
        }
        request.headers[name] = value;
    }
    const auto length = request.headers.find("content-length");
    if (length != request.headers.end()) {
        const auto body = reader.exactly(std::stoul(length->second), forever);
        if (!body) {
            return std::nullopt;
        }
        request.body = *body;
    }
    return request;
}

class http_listener {
public:
    using handler = std::function<http_answer(const http_request&)>;
    explicit http_listener(handler answer)
        : m_answer{std::move(answer)}, m_listener{[this](int fd) { serve(fd); }} {}
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

private:
    void serve(int fd) {
        stream_reader reader{fd};
        while (const auto request = read_request(reader)) {
            const http_answer answer = m_answer(*request);
            if (answer.silent) {
                while (reader.exactly(1, forever)) {
                }
                break;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(answer.status) +
                                     " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                     std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
            if (!send_all(fd, text)) {
                break;
            }
        }
        ::close(fd);
    }

    handler m_answer;
    listener m_listener;
};

// The store.

inline std::string to_base64(const std::string& bytes) {
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t word = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            word =
                word << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : digits[word >> (18 - 6 * k) & 63];
        }
    }
    return text;
}

inline std::string from_base64(const std::string& text) {
    std::string bytes;
    std::uint32_t word = 0;
    int bits = 0;
    for (const char c : text) {
        int value = -1;
        if (c >= 'A' && c <= 'Z') {
            value = c - 'A';
        } else if (c >= 'a' && c <= 'z') {
            value = c - 'a' + 26;
        } else if (c >= '0' && c <= '9') {
            value = c - '0' + 52;
        } else if (c == '+') {
            value = 62;
        } else if (c == '/') {
            value = 63;
        }
        if (value < 0) {
            break;
        }
        word = word << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(word >> bits & 255);
        }
    }
    return bytes;
}

/// How the store treats one daemon.
enum class store_mode { serves, busy, silent };

class store {
public:
    static constexpr double answer_ms = 4;

    store() {
        std::thread{[this] { expire_leases(); }}.detach();
    }

    /// An address at which one daemon reaches the store. Each daemon gets its own.
    std::uint16_t add_caller() {
        const std::size_t index = m_listeners.size();
        m_modes.push_back(store_mode::serves);
        m_listeners.push_back(std::make_unique<http_listener>(
            [this, index](const http_request& request) { return answer(index, request); }));
        return m_listeners.back()->port();
    }
    void set_mode(std::size_t caller, store_mode mode) {
        const std::lock_guard lock{m_lock};
        m_modes[caller] = mode;
        m_changed.notify_all();
    }
    /// A write of the operator or of an instance.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock{m_lock};
        set(key, value, 0);
        m_changed.notify_all();
    }
    void remove(const std::string& key) {
        const std::lock_guard lock{m_lock};
        erase(key);
        m_changed.notify_all();
    }
    std::optional<std::string> value(const std::string& key) {
        const std::lock_guard lock{m_lock};
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::nullopt : std::optional{found->second.value};
    }

private:
    struct item {
        std::string value;
        std::uint64_t rev = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::uint64_t rev = 0;
        std::string key;
        std::optional<item> written;
    };
    struct lease {
        double ttl = 0;
        double ends = 0;
    };

    void set(const std::string& key, const std::string& value, std::uint64_t lease_id,
             bool same_rev = false) {
        if (!same_rev) {
            ++m_rev;
        }
        item& entry = m_items[key];
        entry.value = value;
        entry.rev = m_rev;
        entry.created = entry.created == 0 ? m_rev : entry.created;
        entry.lease = lease_id;
        m_events.push_back({m_rev, key, entry});
    }
    void erase(const std::string& key, bool same_rev = false) {
        if (m_items.erase(key) == 0) {
            return;
        }
        if (!same_rev) {
            ++m_rev;
        }
        m_events.push_back({m_rev, key, std::nullopt});
    }
    void expire_leases() {
        for (;;) {
            sleep_ms(20);
            const std::lock_guard lock{m_lock};
            for (auto at = m_leases.begin(); at != m_leases.end();) {
                if (at->second.ends > now_ms()) {
                    ++at;
                    continue;
                }
                end_lease(at->first);
                at = m_leases.erase(at);
            }
        }
    }
    void end_lease(std::uint64_t id) {
        std::vector<std::string> keys;
        for (const auto& [key, entry] : m_items) {
            if (entry.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string& key : keys) {
            erase(key);
        }
        m_changed.notify_all();
    }
    static json::object to_json(const std::string& key, const item& entry) {
        return {{"key", key},
                {"value", to_base64(entry.value)},
                {"rev", entry.rev},
                {"created", entry.created},
                {"lease", entry.lease}};
    }
    static http_answer ok(const json::object& body) { return {200, json::serialize(body)}; }

    http_answer answer(std::size_t caller, const http_request& request) {
        sleep_ms(answer_ms);
        lock_type lock{m_lock};
        if (m_modes[caller] == store_mode::busy) {
            return {503, "{}"};
        }
        if (m_modes[caller] == store_mode::silent) {
            return {0, "", true};
        }
        if (request.path == "/jasminelead/kv-key") {
            return get(request);
        }
        if (request.path == "/jasminelead/kv-range") {
            return range(request);
        }
        if (request.path == "/jasminelead/kv-watch") {
            return watch(lock, caller, request);
        }
        if (request.path == "/jasminelead/kv-txn") {
            return transact(request);
        }
        return lease_call(request);
    }
    http_answer get(const http_request& request) {
        const std::string key = request.query.at("key");
        const auto found = m_items.find(key);
        if (found == m_items.end()) {
            return {404, "{}"};
        }
        json::object body = to_json(key, found->second);
        body["storeRevision"] = m_rev;
        return ok(body);
    }
    http_answer range(const http_request& request) {
        const std::string prefix = request.query.at("prefix");
        const auto after = request.query.find("after");
        json::array items;
        for (const auto& [key, entry] : m_items) {
            if (key.starts_with(prefix) && (after == request.query.end() || key > after->second)) {
                items.push_back(to_json(key, entry));
            }
        }
        return ok({{"items", std::move(items)}, {"truncated", false}, {"storeRevision", m_rev}});
    }
    http_answer watch(lock_type& lock, std::size_t caller, const http_request& request) {
        const std::string prefix = request.query.at("prefix");
        const std::uint64_t after = std::stoull(request.query.at("after"));
        const double end = now_ms() + std::stod(request.query.at("waitMs"));
        json::array events;
        for (;;) {
            for (const event& change : m_events) {
                if (change.rev <= after || !change.key.starts_with(prefix)) {
                    continue;
                }
                events.push_back(change.written ? to_json(change.key, *change.written)
                                                : json::object{{"key", change.key},
                                                               {"rev", change.rev},
                                                               {"tombstone", true}});
            }
            const double left = end - now_ms();
            if (!events.empty() || left <= 0 || m_modes[caller] != store_mode::serves) {
                break;
            }
            m_changed.wait_for(lock, std::chrono::duration<double, std::milli>(left));
        }
        if (m_modes[caller] != store_mode::serves) {
            return {503, "{}"};
        }
        return ok({{"events", std::move(events)}, {"storeRevision", m_rev}});
    }
    static bool is_foreign(const std::string& key) {
        return key.starts_with("op/") || key.starts_with("servers/");
    }
    http_answer transact(const http_request& request) {
        const json::object body = json::parse(request.body).as_object();
        for (const json::value& row : body.at("expectRev").as_array()) {
            const std::string key{row.at("key").as_string()};
            const auto found = m_items.find(key);
            const std::uint64_t rev = found == m_items.end() ? 0 : found->second.rev;
            if (rev != row.at("rev").to_number<std::uint64_t>()) {
                return {412, "{\"items\":[]}"};
            }
        }
        for (const json::value& row : body.at("setKeys").as_array()) {
            const auto id = row.at("lease").to_number<std::uint64_t>();
            if (is_foreign(std::string{row.at("key").as_string()})) {
                return {403, "{}"};
            }
            if (id != 0 && !m_leases.contains(id)) {
                return {404, "{}"};
            }
        }
        ++m_rev;
        for (const json::value& row : body.at("setKeys").as_array()) {
            set(std::string{row.at("key").as_string()},
                from_base64(std::string{row.at("value").as_string()}),
                row.at("lease").to_number<std::uint64_t>(), true);
        }
        for (const json::value& key : body.at("deleteKeys").as_array()) {
            erase(std::string{key.as_string()}, true);
        }
        m_changed.notify_all();
        return ok({{"rev", m_rev}});
    }
    http_answer lease_call(const http_request& request) {
        static const std::string keep = "/jasminelead/kv-keep/";
        static const std::string end = "/jasminelead/kv-lease-end/";
        if (request.path == "/jasminelead/kv-lease") {
            const double ttl = json::parse(request.body).at("ttlMs").to_number<double>();
            m_leases[++m_last_lease] = {ttl, now_ms() + ttl};
            return ok({{"lease", m_last_lease}, {"ttlMs", ttl}});
        }
        if (request.path.starts_with(keep)) {
            const auto found = m_leases.find(std::stoull(request.path.substr(keep.size())));
            if (found == m_leases.end()) {
                return {404, "{}"};
            }
            found->second.ends = now_ms() + found->second.ttl;
            return ok({{"ttlMs", found->second.ttl}});
        }
        if (request.path.starts_with(end)) {
            const std::uint64_t id = std::stoull(request.path.substr(end.size()));
            m_leases.erase(id);
            end_lease(id);
            return ok({});
        }
        return {404, "{}"};
    }

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<event> m_events;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_rev = 100;
    std::uint64_t m_last_lease = 0;
    std::vector<store_mode> m_modes;
    std::vector<std::unique_ptr<http_listener>> m_listeners;
};

// Instances.

struct log_point {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    auto operator<=>(const log_point&) const = default;
    [[nodiscard]] std::string text() const {
        return std::to_string(term) + "." + std::to_string(number);
    }
};

struct commit {
    log_point point;
    std::string id;  ///< Of the statement that committed.
    std::vector<std::pair<std::string, std::string>> writes;
};

/// A read, write or commit as an instance ran it.
struct run_event {
    double at = 0;
    std::string instance;
    std::string id;
    std::string text;
    std::vector<std::string> log;  ///< Ids of the commits that were applied, for reads.
};

class instance;

/// A service: one primary and its replicas.
struct service {
    std::string name;
    bool synchronous = false;
    double network_ms = 1.4;
    double promote_ms = 300;
    std::mutex lock;
    std::condition_variable received;
    std::vector<std::unique_ptr<instance>> instances;
    std::vector<run_event> runs;
    std::uint64_t newest_term = 3;
    /// Called with the instance when a promotion takes effect; the lock is held.
    std::function<void(instance&)> on_promoted;
};

class instance {
public:
    instance(service& owner, store& keys, std::string id, std::string zone)
        : m_service{owner},
          m_store{keys},
          m_id{std::move(id)},
          m_zone{std::move(zone)},
          m_born{std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()},
          m_listener{[this](int fd) { serve(fd); }} {
        std::thread{[this] { beat(); }}.detach();
    }

    // Settings; change them under the service's lock.
    bool is_primary = false;
    bool is_draining = false;
    bool is_deaf = false;      ///< Receives nothing.
    bool is_cut_off = false;   ///< From the other instances of the service.
    std::set<pid_t> cut_from;  ///< Processes that are cut off from this instance, in silence.
    double lag_ms = 60;        ///< From receiving to applying.
    double work_ms = 6;
    unsigned slots = 3;
    std::size_t queue = 2;  ///< Statements of any kind that wait for a slot; others get BUSY.
    std::size_t max_connections = 22;
    double handshake_ms = 12;

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }
    [[nodiscard]] bool is_running() const { return !m_crashed; }
    [[nodiscard]] const std::vector<commit>& log() const { return m_log; }
    [[nodiscard]] std::uint64_t term() const { return m_term; }

    /// Ends without a word; all connections break.
    void crash() {
        const std::lock_guard lock{m_service.lock};
        m_crashed = true;
        record->write("crash " + m_id);
        m_listener.stop();
        for (const int fd : m_connections) {
            ::shutdown(fd, SHUT_RDWR);
        }
        m_free_slot.notify_all();
    }
    /// Changes settings and reports them at once.
    void change(const std::function<void()>& edit) {
        {
            const std::lock_guard lock{m_service.lock};
            edit();
        }
        report();
    }
    void become_primary() {
        m_service.newest_term += 1;
        m_term = m_service.newest_term;
        is_primary = true;
        m_apply_at.assign(m_log.size(), 0);
        record->write("promoted " + m_id + " term " + std::to_string(m_term) + " log end " +
                      last_point().text());
        if (m_service.on_promoted) {
            m_service.on_promoted(*this);
        }
        for (const auto& other : m_service.instances) {
            if (other.get() != this && !other->is_primary && !other->is_cut_off) {
                other->follow(*this);
            }
        }
    }
    /// Takes the log of the primary: rolls back what it lacks, receives what is new.
    void follow(const instance& primary) {
        if (m_crashed || is_deaf) {
            return;
        }
        std::size_t common = 0;
        while (common < m_log.size() && common < primary.m_log.size() &&
               m_log[common].point == primary.m_log[common].point) {
            ++common;
        }
        m_log.resize(common);
        m_apply_at.resize(common);
        while (m_log.size() < primary.m_log.size()) {
            append(primary.m_log[m_log.size()], now_ms() + lag_ms);
        }
        m_term = primary.m_term;
    }
    void step_down(const instance* successor) {
        is_primary = false;
        if (successor != nullptr) {
            follow(*successor);
        }
    }
    /// Fills the log at the start of the day.
    void preload(std::size_t commits) {
        for (std::size_t i = 1; i <= commits; ++i) {
            append({{m_term, i}, "preload-" + std::to_string(i), {{"seed", std::to_string(i)}}}, 0);
        }
    }
    void report() {
        std::string text;
        {
            const std::lock_guard lock{m_service.lock};
            if (m_crashed) {
                return;
            }
            text = json::serialize(json::object{{"service", m_service.name},
                                                {"addr", address_of(port())},
                                                {"zone", m_zone},
                                                {"version", "v1"},
                                                {"slots", slots},
                                                {"state", is_draining ? "draining" : "ready"},
                                                {"coldLeftMs", 0},
                                                {"dbRole", is_primary ? "primary" : "replica"},
                                                {"born", m_born},
                                                {"seq", ++m_seq}});
        }
        m_store.put("servers/" + m_id, text);
    }

private:
    struct session {
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
        char state = 'I';
        bool read_only = false;
        std::uint64_t term = 0;
        std::vector<std::pair<std::string, std::string>> writes;
    };

    void beat() {
        int missed = 0;
        for (;;) {
            if (m_crashed) {
                // The entry is removed after three intervals of silence.
                if (++missed == 4) {
                    m_store.remove("servers/" + m_id);
                    return;
                }
            } else {
                report();
            }
            sleep_ms(1200);
        }
    }
    [[nodiscard]] log_point last_point() const {
        return m_log.empty() ? log_point{m_term, 0} : m_log.back().point;
    }
    void append(const commit& added, double apply_at) {
        const double before = m_apply_at.empty() ? 0 : m_apply_at.back();
        m_log.push_back(added);
        m_apply_at.push_back(std::max(before, apply_at));
    }
    [[nodiscard]] std::size_t applied() const {
        if (is_primary) {
            return m_log.size();
        }
        return static_cast<std::size_t>(
            std::upper_bound(m_apply_at.begin(), m_apply_at.end(), now_ms()) - m_apply_at.begin());
    }
    [[nodiscard]] log_point point() const {
        const std::size_t count = applied();
        return count == 0 ? log_point{m_term, 0} : m_log[count - 1].point;
    }
    [[nodiscard]] bool has(const log_point& required) const {
        const std::size_t count = applied();
        return required.number <= count &&
               (required.number == 0 || m_log[required.number - 1].point == required);
    }

    void serve(int fd) {
        {
            const std::lock_guard lock{m_service.lock};
            if (m_crashed) {
                ::close(fd);
                return;
            }
            if (m_connections.size() >= max_connections) {
                send_all(fd, "ERROR MAXCONN " + m_id + "\r\n");
                ::close(fd);
                return;
            }
            m_connections.insert(fd);
        }
        stream_reader reader{fd};
        session open;
        bool started = false;
        const pid_t peer = owner_of(fd);
        while (const auto line = reader.until("\r\n", forever)) {
            if (m_crashed) {
                break;
            }
            if (is_cut_from(peer)) {
                continue;
            }
            const auto answer = started ? handle(open, *line) : start(*line, started);
            if (is_cut_from(peer)) {
                continue;
            }
            if (m_crashed || !answer || !send_all(fd, *answer) || !started) {
                break;
            }
        }
        const std::lock_guard lock{m_service.lock};
        m_connections.erase(fd);
        ::close(fd);
    }
    bool is_cut_from(pid_t peer) {
        const std::lock_guard lock{m_service.lock};
        return cut_from.contains(peer);
    }
    std::optional<std::string> start(const std::string& line, bool& started) {
        std::istringstream words{line};
        std::string verb;
        std::string name;
        std::string who;
        std::string expected;
        words >> verb >> name >> who >> expected;
        const bool ok =
            verb == "STARTUP" && name == m_service.name && (expected.empty() || expected == m_id);
        if (!ok) {
            return "ERROR WRONGNODE " + m_id + "\r\n";
        }
        sleep_ms(handshake_ms);
        started = true;
        const std::lock_guard lock{m_service.lock};
        return "READY I " + point().text() + "\r\n";
    }
    std::string ready(const session& open) const {
        return std::string{"READY "} + open.state + " " + point().text() + "\r\n";
    }
    std::string done(const session& open, const std::string& rows = "") {
        return rows + "DONE " + m_id + "." + std::to_string(++m_signatures) + "\r\n" + ready(open);
    }
    std::string error(session& open, const std::string& code) const {
        open.state = open.state == 'T' ? 'E' : open.state;
        return "ERROR " + code + " " + m_id + "\r\n" + ready(open);
    }

    std::optional<std::string> handle(session& open, const std::string& line) {
        const std::size_t first = line.find(' ');
        const std::size_t second = first == std::string::npos ? first : line.find(' ', first + 1);
        if (line.substr(0, first) == "TERMINATE") {
            return std::nullopt;
        }
        if (line.substr(0, first) != "QUERY" || second == std::string::npos) {
            const std::lock_guard lock{m_service.lock};
            return "ERROR MALFORMED " + m_id + "\r\n" + ready(open);
        }
        const std::string id = line.substr(first + 1, second - first - 1);
        return query(open, id, line.substr(second + 1));
    }
    static std::string take_word(std::string& text) {
        const std::size_t end = std::min(text.find(' '), text.size());
        std::string word = text.substr(0, end);
        text.erase(0, std::min(end + 1, text.size()));
        return word;
    }

    std::string query(session& open, const std::string& id, const std::string& text) {
        std::string rest = text;
        std::string verb = take_word(rest);
        std::optional<log_point> after;
        std::string own_text = text;
        if (verb == "AFTER") {
            const std::string at = take_word(rest);
            after = log_point{std::stoull(at), std::stoull(at.substr(at.find('.') + 1))};
            own_text = rest;
            verb = take_word(rest);
        }
        if (verb == "EXECUTE") {
            const std::string name = take_word(rest);
            const auto found = open.prepared.find(name);
            if (found == open.prepared.end()) {
                const std::lock_guard lock{m_service.lock};
                return error(open, "NOSTMT");
            }
            verb = found->second.first;
        }
        if (open.state == 'E' && verb != "COMMIT" && verb != "ROLLBACK") {
            const std::lock_guard lock{m_service.lock};
            return error(open, "MALFORMED");
        }
        if (verb == "READ" || verb == "WRITE" || verb == "COMMIT" || verb == "STATUS") {
            return in_slot(open, id, verb, rest, own_text, after);
        }
        const std::lock_guard lock{m_service.lock};
        return control(open, verb, rest, after);
    }

    std::string control(session& open, const std::string& verb, std::string rest,
                        const std::optional<log_point>& after) {
        if (verb == "SET") {
            const std::string name = take_word(rest);
            open.values[name] = rest;
        } else if (verb == "PREPARE") {
            const std::string name = take_word(rest);
            const std::string kind = take_word(rest);
            open.prepared[name] = {kind, rest};
        } else if (verb == "DEALLOC") {
            open.prepared.erase(rest);
        } else if (verb == "RESET") {
            open.values.clear();
            open.prepared.clear();
        } else if (verb == "BEGIN") {
            if (after && !has(*after)) {
                return error(open, "LAGGING");
            }
            open.read_only = rest == "READ";
            if (!open.read_only && !is_primary) {
                return error(open, "READONLY");
            }
            open.state = 'T';
            open.term = m_term;
            open.writes.clear();
        } else if (verb == "ROLLBACK") {
            open.state = 'I';
            open.writes.clear();
        } else if (verb == "STEPDOWN") {
            if (is_primary && std::stoull(rest) > m_term) {
                record->write("stepdown " + m_id + " term " + rest);
                is_primary = false;
                std::thread{[this] { report(); }}.detach();
            }
            return done(open, status_row());
        } else if (verb == "PAUSE" || verb == "RESUME") {
            is_deaf = verb == "PAUSE" && std::stoull(rest) > m_service.newest_term;
            return done(open, status_row());
        } else {
            return error(open, "MALFORMED");
        }
        return done(open);
    }
    [[nodiscard]] std::string status_row() const {
        return std::string{"ROW "} + (is_primary ? "primary " : "replica ") +
               std::to_string(m_term) + " " + last_point().text() + " 0 " +
               std::to_string(static_cast<int>(is_primary ? 0 : lag_ms)) + " " +
               std::to_string(m_busy) + " " + std::to_string(m_connections.size()) + "\r\n";
    }

    std::string in_slot(session& open, const std::string& id, const std::string& verb,
                        const std::string& rest, const std::string& text,
                        const std::optional<log_point>& after) {
        lock_type lock{m_service.lock};
        if (m_busy >= slots) {
            if (m_waiting >= queue) {
                record->write("busy " + m_id + " " + id + " " + shown(text));
                return error(open, "BUSY");
            }
            ++m_waiting;
            m_free_slot.wait(lock, [this] { return m_busy < slots || m_crashed; });
            --m_waiting;
        }
        if (m_crashed) {
            return "";
        }
        ++m_busy;
        std::string answer;
        if (verb == "STATUS") {
            answer = done(open, status_row());
            record->write("status " + m_id + " log end " + last_point().text());
        } else if (after && !has(*after)) {
            answer = error(open, "LAGGING");
        } else {
            // The statement sees the log as it is at its start.
            answer = run(lock, open, id, verb, rest, text);
        }
        --m_busy;
        m_free_slot.notify_one();
        return answer;
    }

    std::string run(lock_type& lock, session& open, const std::string& id, const std::string& verb,
                    const std::string& rest, const std::string& text) {
        const bool lost_lead =
            open.state == 'T' && !open.read_only && (!is_primary || open.term != m_term);
        const bool ends_empty = verb == "COMMIT" && open.writes.empty();
        if ((verb == "WRITE" && !is_primary) || (lost_lead && !ends_empty)) {
            if (verb == "COMMIT") {
                open.state = 'I';
                open.writes.clear();
            }
            return error(open, "READONLY");
        }
        if (verb == "COMMIT" && open.state != 'T') {
            const bool failed = open.state == 'E';
            open.state = 'I';
            open.writes.clear();
            return error(open, failed ? "ABORTED" : "MALFORMED");
        }
        run_event event{now_ms(), m_id, id, text, {}};
        std::string rows;
        if (verb == "READ") {
            const std::size_t count = applied();
            std::string value = "none";
            for (std::size_t i = 0; i < count; ++i) {
                event.log.push_back(m_log[i].id);
                for (const auto& [item, data] : m_log[i].writes) {
                    value = item == rest ? data : value;
                }
            }
            rows = "ROW " + value + "\r\n";
        }
        record->write("run " + m_id + " " + id + " " + shown(text) + " log " + point().text());
        m_service.runs.push_back(event);
        lock.unlock();
        sleep_ms(work_ms);
        lock.lock();
        if (m_crashed) {
            return "";
        }
        if (verb == "READ") {
            return done(open, rows);
        }
        if (verb == "WRITE") {
            std::string data = rest;
            const std::string item = take_word(data);
            open.writes.emplace_back(item, data);
            if (open.state == 'T') {
                return done(open);
            }
        }
        return finish(lock, open, id);
    }

    /// Commits the writes of a single statement or a transaction.
    std::string finish(lock_type& lock, session& open, const std::string& id) {
        open.state = 'I';
        if (open.writes.empty()) {
            return done(open);
        }
        if (!is_primary) {
            open.writes.clear();
            return error(open, "READONLY");
        }
        const commit added{{m_term, last_point().number + 1}, id, std::move(open.writes)};
        open.writes.clear();
        append(added, 0);
        record->write("commit " + m_id + " " + id + " " + added.point.text());
        lock.unlock();
        sleep_ms(m_service.network_ms);
        lock.lock();
        bool is_received = false;
        for (const auto& other : m_service.instances) {
            if (other.get() != this && !other->is_primary && other->is_running() &&
                !other->is_deaf && !other->is_cut_off && !is_cut_off && !m_crashed) {
                other->follow(*this);
                is_received = true;
            }
        }
        if (m_service.synchronous && !is_received) {
            // Waits for a replica; the scripts do not depend on the end of this wait.
            m_service.received.wait(lock, [this] { return m_crashed.load(); });
        }
        return m_crashed ? "" : done(open);
    }

    service& m_service;
    store& m_store;
    std::string m_id;
    std::string m_zone;
    std::int64_t m_born;
    std::uint64_t m_term = 3;
    std::vector<commit> m_log;
    std::vector<double> m_apply_at;
    std::set<int> m_connections;
    unsigned m_busy = 0;
    std::size_t m_waiting = 0;
    std::condition_variable m_free_slot;
    std::atomic<bool> m_crashed = false;
    std::uint64_t m_seq = 0;
    std::uint64_t m_signatures = 0;
    listener m_listener;
};

// Daemons.

struct daemon_process {
    std::string host;
    std::string zone;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t metrics = 0;
    std::uint16_t store_port = 0;
    std::size_t store_caller = 0;
    pid_t pid = 0;
};

// Clients.

struct answer {
    std::vector<std::string> lines;
    bool complete = false;
    double sent = 0;
    double received = 0;
    [[nodiscard]] bool ok() const {
        return complete && !lines.empty() &&
               std::any_of(lines.begin(), lines.end(),
                           [](const auto& line) { return line.starts_with("DONE"); });
    }
    [[nodiscard]] std::string text() const {
        std::string all;
        for (const std::string& line : lines) {
            all += line + " | ";
        }
        return complete ? all : all + "(connection ended or no answer)";
    }
};

inline std::string new_id() {
    static std::mutex lock;
    static std::mt19937_64 random{20261204};
    const std::lock_guard guard{lock};
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

class client {
public:
    client(std::uint16_t port, const std::string& database) : m_fd{connect_to(port)}, m_in{m_fd} {
        m_first = exchange("STARTUP " + database + " user1\r\n", 2000);
    }
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client() {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }
    [[nodiscard]] bool is_started() const {
        return m_first.complete && m_first.lines.back() == "READY I -";
    }
    [[nodiscard]] const answer& first() const { return m_first; }
    /// Sends a statement and waits for its answer.
    answer query(const std::string& text, double timeout_ms = 6000) {
        return query_as(new_id(), text, timeout_ms);
    }
    answer query_as(const std::string& id, const std::string& text, double timeout_ms = 6000) {
        record->write("send " + id + " " + shown(text));
        const answer result = exchange("QUERY " + id + " " + text + "\r\n", timeout_ms);
        record->write("answer " + id + " " + result.text());
        return result;
    }
    /// Reads one more answer, without sending anything.
    answer read_answer(double timeout_ms) {
        answer result;
        result.sent = now_ms();
        collect(result, timeout_ms);
        return result;
    }

private:
    answer exchange(const std::string& bytes, double timeout_ms) {
        answer result;
        result.sent = now_ms();
        if (m_fd >= 0 && send_all(m_fd, bytes)) {
            collect(result, timeout_ms);
        }
        return result;
    }
    void collect(answer& result, double timeout_ms) {
        const double deadline = now_ms() + timeout_ms;
        while (const auto line = m_in.until("\r\n", deadline)) {
            result.lines.push_back(*line);
            if (line->starts_with("READY")) {
                result.complete = true;
                break;
            }
        }
        result.received = now_ms();
    }

    int m_fd;
    stream_reader m_in;
    answer m_first;
};

// The deployment.

struct route {
    std::string database;
    std::string type;
    std::string service;
    int timeout_ms = 800;
    int goal_ms = 250;
    int priority = 1;
    int max_stale_ms = 0;
};

class deployment {
public:
    explicit deployment(std::string folder) : m_folder{std::move(folder)} {
        std::filesystem::create_directories(m_folder);
        m_cloud = std::make_unique<http_listener>(
            [this](const http_request& request) { return promote(request); });
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment() { stop(); }

    store keys;
    std::vector<std::unique_ptr<service>> services;
    std::vector<daemon_process> daemons;
    std::vector<route> routes;
    int version = 6;

    service& add_service(const std::string& name, const std::vector<std::string>& zones,
                         bool synchronous = false) {
        services.push_back(std::make_unique<service>());
        service& added = *services.back();
        added.name = name;
        added.synchronous = synchronous;
        char letter = 'a';
        for (const std::string& zone : zones) {
            added.instances.push_back(
                std::make_unique<instance>(added, keys, "i-" + name + "-" + letter++, zone));
            added.instances.back()->preload(5);
        }
        added.instances.front()->change([&] { added.instances.front()->is_primary = true; });
        return added;
    }
    /// The operator writes a configuration with the present routes.
    void put_config() {
        json::array rows;
        for (const route& item : routes) {
            json::object row{{"name", "r-" + item.database},
                             {"host", item.database},
                             {"prefix", "/"},
                             {"type", item.type},
                             {"timeoutMs", item.timeout_ms},
                             {"goalMs", item.goal_ms},
                             {"priority", item.priority},
                             {"service", item.service},
                             {"maxTries", 2}};
            if (item.type != "primary") {
                row["maxStaleMs"] = item.max_stale_ms;
            }
            rows.push_back(std::move(row));
        }
        json::array groups;
        for (const auto& item : services) {
            groups.push_back(json::object{{"name", item->name},
                                          {"healthPath", "/healthz"},
                                          {"maxConns", 22},
                                          {"proto", "h1"},
                                          {"tls", false},
                                          {"syncReplicas", item->synchronous ? 1 : 0}});
        }
        version += 1;
        keys.put("op/config",
                 json::serialize(json::object{{"version", version},
                                              {"routes", std::move(rows)},
                                              {"services", std::move(groups)},
                                              {"limits", json::object{{"maxHeaderBytes", 16384},
                                                                      {"maxBodyBytes", 262144},
                                                                      {"headerTimeoutMs", 3000},
                                                                      {"idleTimeoutMs", 15000},
                                                                      {"txIdleMs", 3000}}}}));
        record->write("config version " + std::to_string(version));
    }
    void add_daemon(const std::string& zone) {
        daemon_process added;
        added.host = "front-" + zone + "-" + std::to_string(daemons.size() + 1);
        added.zone = zone;
        added.front = free_port();
        added.ready = free_port();
        added.control = free_port();
        added.metrics = free_port();
        added.store_caller = daemons.size();
        added.store_port = keys.add_caller();
        daemons.push_back(added);
    }
    /// Starts the daemons as the deploy file says, with the settings of its template.
    void start_all() {
        for (daemon_process& item : daemons) {
            start(item);
        }
    }
    void start(daemon_process& item) {
        std::string seeds;
        for (std::size_t i = 0; i < daemons.size() && i < 3; ++i) {
            seeds += (i == 0 ? "" : ",") + address_of(daemons[i].control);
        }
        const std::string path = m_folder + "/" + item.host + ".yaml";
        std::ofstream{path} << "host: \"" << item.host << "\"\ndata_centre: \"" << item.zone
                            << "\"\ncpu_share: 0.25\nlisten: \"" << address_of(item.front)
                            << "\"\nreadiness: \"" << address_of(item.ready)
                            << "\"\naddress: \"127.0.0.1\"\nmetrics_port: " << item.metrics
                            << "\npeer: \"" << address_of(item.control) << "\"\nseeds: \"" << seeds
                            << "\"\nstore: \"" << address_of(item.store_port) << "\"\npromotion: \""
                            << address_of(m_cloud->port()) << "\"\nstop_grace_ms: 6e3\n";
        const std::string settings = "JASMINELEAD_SETTINGS=" + path;
        const std::string search = std::string{"PATH="} + std::getenv("PATH");
        const std::string output = m_folder + "/" + item.host + ".log";
        const pid_t pid = ::fork();
        if (pid == 0) {
            // The daemon also ends if this program is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const char* const arguments[] = {"target/jasminelead", "--sessions", nullptr};
            const char* const variables[] = {settings.c_str(), search.c_str(), "HOME=/tmp",
                                             "LANG=C.UTF-8", nullptr};
            ::execve(arguments[0], const_cast<char* const*>(arguments),
                     const_cast<char* const*>(variables));
            ::_exit(127);
        }
        item.pid = pid;
        {
            const std::lock_guard lock{started_lock};
            started_processes.insert(pid);
        }
        record->write("started " + item.host + " pid " + std::to_string(pid));
    }
    void signal(daemon_process& item, int number) {
        record->write("signal " + std::to_string(number) + " to " + item.host);
        ::kill(item.pid, number);
    }
    /// True when the daemon has ended by itself.
    static bool has_ended(const daemon_process& item) {
        int status = 0;
        return ::waitpid(item.pid, &status, WNOHANG) != 0;
    }
    static bool is_ready(const daemon_process& item) {
        const int fd = connect_to(item.ready);
        if (fd < 0) {
            return false;
        }
        send_all(fd, "GET /jasminelead/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        stream_reader reader{fd};
        const auto head = reader.until("\r\n", now_ms() + 1000);
        ::close(fd);
        return head && head->find(" 200 ") != std::string::npos;
    }
    /// Waits until each daemon is ready and serves a read of each database.
    bool wait_until_served(double timeout_ms = 20000) {
        const double deadline = now_ms() + timeout_ms;
        for (const daemon_process& item : daemons) {
            for (const route& used : routes) {
                bool served = false;
                while (!served && now_ms() < deadline) {
                    served = is_ready(item);
                    if (served) {
                        client probe{item.front, used.database};
                        served = probe.is_started() && probe.query("READ seed").ok();
                    }
                    if (!served) {
                        sleep_ms(100);
                    }
                }
                if (!served) {
                    return false;
                }
            }
        }
        return true;
    }
    /// Ends all processes that this deployment started.
    void stop() {
        for (daemon_process& item : daemons) {
            if (item.pid > 0) {
                ::kill(item.pid, SIGCONT);
                ::kill(item.pid, SIGKILL);
                ::waitpid(item.pid, nullptr, 0);
                item.pid = 0;
            }
        }
    }

private:
    http_answer promote(const http_request& request) {
        const json::value body = json::parse(request.body);
        const std::string name{body.at("service").as_string()};
        const std::string id{body.at("id").as_string()};
        const auto header = [&](const char* key) {
            const auto found = request.headers.find(key);
            return found == request.headers.end() ? std::string{} : found->second;
        };
        record->write("promote " + id + " by " + header("x-lease-holder") + " token " +
                      header("x-fence-token"));
        for (const auto& group : services) {
            for (const auto& item : group->instances) {
                if (group->name != name || item->id() != id) {
                    continue;
                }
                if (!item->is_running()) {
                    return {409, "{}"};
                }
                std::thread{[&group, &item] { take_over(*group, *item); }}.detach();
                return {200, "{}"};
            }
        }
        return {409, "{}"};
    }
    static void take_over(service& group, instance& successor) {
        {
            const std::lock_guard lock{group.lock};
            if (successor.is_primary) {
                return;
            }
        }
        sleep_ms(group.promote_ms);
        {
            const std::lock_guard lock{group.lock};
            if (!successor.is_running()) {
                return;
            }
            successor.become_primary();
        }
        successor.report();
        // An old primary continues until a second after it can reach the new one.
        const auto is_any_cut_off = [&group] {
            const std::lock_guard lock{group.lock};
            return std::any_of(group.instances.begin(), group.instances.end(),
                               [](const auto& item) { return item->is_cut_off; });
        };
        while (is_any_cut_off()) {
            sleep_ms(50);
        }
        sleep_ms(1000);
        for (const auto& other : group.instances) {
            const bool is_old =
                other.get() != &successor && other->is_primary && other->term() < successor.term();
            if (is_old) {
                other->change([&] { other->step_down(&successor); });
            }
        }
    }

    std::string m_folder;
    std::unique_ptr<http_listener> m_cloud;
};

/// The exit codes of a script.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

inline bool with_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

}  // namespace world
