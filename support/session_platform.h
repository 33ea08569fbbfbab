#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "scripted_server.h"

/// Test double for the platform of a session daemon: the key-value store and the promotion call.
namespace jasminelead::support {

class session_platform {
public:
    session_platform();

    [[nodiscard]] std::string address() const { return m_server.address(); }
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] std::optional<std::string> value(const std::string& key);
    /// Keeps a copy of what the store holds now.
    void keep_copy();
    /// The store returns from the copy and begins a new era. What was written since is lost, leases
    /// too; then the operator and the endpoints write again what they had written.
    void restore_copy();
    /// While unavailable, every call returns status 503.
    void set_available(bool available) { m_available = available; }
    /// The callback receives the group and endpoint of each promotion.
    using promotion = std::function<void(const std::string& group, const std::string& endpoint)>;
    void on_promotion(promotion callback) { m_promotion = std::move(callback); }
    [[nodiscard]] int promotions() const { return m_promotions; }
    /// Promotions are executed and not answered.
    void set_promotions_silent(bool silent) { m_promotions_silent = silent; }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };

    std::string answer(std::string_view target, const std::string& body);
    std::string execute(std::string_view target, const std::string& body);
    std::string read_key(std::string_view target);
    std::string read_range(std::string_view target);
    std::string watch(std::string_view target);
    std::string commit(const std::string& body);
    std::string promote(const std::string& body);

    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::string, std::uint64_t> m_deleted;
    std::map<std::string, item> m_copy;
    std::uint64_t m_copy_revision = 0;
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 1;
    std::uint64_t m_next_lease = 1;
    std::atomic<bool> m_available = true;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_promotions = 0;
    std::atomic<bool> m_promotions_silent = false;
    promotion m_promotion;
    scripted_server m_server;
};

}  // namespace jasminelead::support
