#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "soak/store.h"

/// A service of the users' platform: one primary and its replicas, and what they ran.
namespace jasminelead::soak {

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
    std::string host;  ///< The caller.
    std::string id;
    std::string text;       ///< A prepared statement with its shape in place of its name.
    log_point log_end;      ///< Of what the statement saw.
    std::string signature;  ///< Empty when it had no success.
    std::string rows;
    std::string account;  ///< Name of who opened the connection.
};

/// A commit that wrote, as the primary made it.
struct commit_event {
    double at = 0;
    double arrived = 0;  ///< When the instance received the statement.
    std::string instance;
    std::uint16_t port = 0;  ///< Of the instance.
    std::string host;
    std::string id;
    std::vector<std::string> write_ids;
    log_point point;
    std::uint64_t newest_term = 0;  ///< Of the service at that moment.
};

/// A promotion that took effect.
struct promotion_event {
    double at = 0;
    std::string instance;
    std::uint64_t term = 0;
    log_point log_end;
};

class instance;

/// Public members are read and changed under `lock`.
class service {
public:
    service(std::string service_name, store& keys);
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    ~service();

    const std::string name;
    bool synchronous = false;
    double network_ms = 1.4;
    double promote_ms = 300;  ///< From the call to its effect.
    double role_lag_ms = 0;   ///< From a change of a role to its listing.
    std::mutex lock;
    std::condition_variable received;
    std::vector<std::unique_ptr<instance>> instances;
    std::deque<run_event> runs;
    std::deque<commit_event> commits;
    std::vector<promotion_event> promotions;
    std::uint64_t newest_term = 3;
    instance* leader = nullptr;  ///< The one that was promoted last.
    /// Called with the instance when a promotion takes effect; the lock is held.
    std::function<void(instance&)> on_promoted;

    instance& add_instance(const std::string& id, const std::string& zone);
    /// A new instance takes over the address and the log of one that has ended.
    instance& replace(instance& ended, const std::string& id);
    /// The running instance of this id, or null.
    instance* find(const std::string& id);
    /// Makes the instance the leader of the next term, unless it leads already.
    void promote(instance& successor);

    void add_to_history(const commit& added, const log_point& parent);
    /// True when the log that ends there has the commit of this statement.
    [[nodiscard]] bool log_has(log_point end, const std::string& id) const;
    [[nodiscard]] log_point parent_of(const log_point& point) const;
    /// The log that ends there, by the numbers of its commits.
    [[nodiscard]] std::vector<log_point> chain(log_point end) const;

private:
    struct history_entry {
        log_point parent;
        std::string id;
    };

    void keep_in_touch();

    store& m_store;
    std::map<log_point, history_entry> m_history;
};

}  // namespace jasminelead::soak
