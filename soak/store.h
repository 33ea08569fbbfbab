#pragma once

#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak/http.h"

/// Stand-in for the users' metadata store.
namespace jasminelead::soak {

/// How the store treats one caller.
enum class store_mode {
    serves,
    busy,     ///< 503.
    limited,  ///< 429.
    resets,
    silent,
};

/// What the store does to all callers beside their own modes.
struct store_trouble {
    double delay_ms = 0;      ///< Added to each answer.
    double lost_share = 0;    ///< Of the calls, executed and not answered.
    double late_share = 0;    ///< Of the calls, executed seconds later and not answered.
    bool ends_leases = true;  ///< While it serves nobody, leases end; else they pause.
};

class store {
public:
    static constexpr double answer_ms = 4;
    static constexpr double history_ms = 20000;

    store();

    /// An address at which one daemon reaches the store. Each daemon gets its own.
    std::uint16_t add_caller();
    /// The caller sees `shown` wherever a value has `address`.
    void set_address(std::size_t caller, const std::string& address, const std::string& shown);
    void set_mode(std::size_t caller, store_mode mode);
    /// Sets the mode of all callers.
    void set_modes(store_mode mode);
    void set_trouble(const store_trouble& trouble);
    /// Watches from before this moment get 410.
    void forget_history();
    /// Keeps a copy of what the store holds now.
    void keep_copy();
    /// Returns from the copy and begins a new era. What was written since is lost, leases too; then
    /// the operator and the instances write again what they had written.
    void restore_copy();
    /// A write of the operator or of an endpoint; false while the store serves nobody.
    bool put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::optional<std::string> value(const std::string& key);

private:
    using lock_type = std::unique_lock<std::mutex>;

    struct item {
        std::string value;
        std::uint64_t rev = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::uint64_t rev = 0;
        double at = 0;
        std::string key;
        std::optional<item> written;
    };
    struct lease {
        double ttl = 0;
        double ends = 0;
    };

    void set(const std::string& key, const std::string& value, std::uint64_t lease_id);
    void erase(const std::string& key);
    void add_event(const std::string& key, std::optional<item> written);
    void keep_time();
    void end_lease(std::uint64_t id);
    [[nodiscard]] bool serves_nobody() const;
    boost::json::object to_json(std::size_t caller, const std::string& key, const item& entry);
    std::string as_seen(std::size_t caller, const std::string& value);

    /// The answer, with the era once the store has returned from a copy.
    http_answer answer_in_era(std::size_t caller, const http_request& request);
    http_answer answer(std::size_t caller, const http_request& request);
    http_answer execute(lock_type& lock, std::size_t caller, const http_request& request);
    http_answer get(std::size_t caller, const http_request& request);
    http_answer range(std::size_t caller, const http_request& request);
    http_answer watch(lock_type& lock, std::size_t caller, const http_request& request);
    http_answer transact(const http_request& request);
    http_answer lease_call(const http_request& request);

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<event> m_events;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_rev = 100;
    std::uint64_t m_forgotten = 0;
    std::uint64_t m_last_lease = 0;
    double m_last_tick = 0;
    std::map<std::string, item> m_copy;
    std::uint64_t m_copy_rev = 0;
    std::uint64_t m_era = 0;
    store_trouble m_trouble;
    std::minstd_rand m_random{1};
    std::vector<store_mode> m_modes;
    std::vector<std::map<std::string, std::string>> m_addresses;  ///< As each caller sees them.
    std::vector<std::unique_ptr<http_listener>> m_listeners;
};

}  // namespace jasminelead::soak
