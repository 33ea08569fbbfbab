#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/messages.h"
#include "jasminelead/types.h"

/// Session tokens and transaction handles, which callers present to any daemon.
namespace jasminelead {

inline constexpr std::size_t max_token_length = 1024;
/// Maximum length in bytes of a group, host or endpoint name in a token or handle.
inline constexpr std::size_t max_token_name = 64;

/// Term and log position of the last write of a session in one group.
struct session_entry {
    group_id group;
    term_number term = 0;
    log_position position = 0;
    bool operator==(const session_entry&) const = default;
};

/// The last write of a session in each of up to 8 groups, most recently written group first. Reads
/// of the session must see these writes.
class session_token {
public:
    static constexpr std::size_t capacity = 8;

    explicit session_token(std::uint64_t id = 0) : m_id{id} {}

    [[nodiscard]] std::uint64_t id() const { return m_id; }
    [[nodiscard]] std::span<const session_entry> entries() const {
        return std::span{m_entries}.first(m_size);
    }
    /// Null if the token has no entry for the group.
    [[nodiscard]] const session_entry* find(const group_id& group) const;
    /// True if a write to the group would exceed the capacity.
    [[nodiscard]] bool is_full_for(const group_id& group) const;
    /// Moves the group to the front and raises its entry; an older entry does not replace a newer
    /// one. Returns false if the token is full.
    bool set(session_entry entry);
    void erase(const group_id& group);

private:
    friend class token_codec;
    std::uint64_t m_id;
    std::array<session_entry, capacity> m_entries;
    std::size_t m_size = 0;
};

/// Identifies an open transaction together with its endpoint and group.
struct transaction_handle {
    transaction_ref transaction;
    endpoint_id endpoint;
    group_id group;
    bool operator==(const transaction_handle&) const = default;
};

struct token_key {
    static constexpr std::size_t secret_size = 32;
    std::uint8_t id = 0;
    std::array<std::uint8_t, secret_size> secret{};
};

namespace detail {
struct mac_context_deleter {
    void operator()(void* context) const;
};
}  // namespace detail

/// Encodes and authenticates tokens. The first key signs; all keys verify. Not thread-safe, even
/// through const members, since they share the MAC contexts.
class token_codec {
public:
    explicit token_codec(const std::vector<token_key>& keys);

    /// Returns an empty string if a name is longer than `max_token_name` or there is no key.
    [[nodiscard]] std::string encode(const session_token& token) const;
    [[nodiscard]] std::string encode(const transaction_handle& handle) const;
    /// Returns nothing if the text is malformed or not authentic. Only tests pass false for
    /// `authenticate`.
    [[nodiscard]] std::optional<session_token> decode(std::string_view text,
                                                      bool authenticate = true) const;
    [[nodiscard]] std::optional<transaction_handle> decode_handle(std::string_view text,
                                                                  bool authenticate = true) const;

private:
    struct keyed_mac {
        std::uint8_t id = 0;
        std::unique_ptr<void, detail::mac_context_deleter> context;
    };
    using mac_bytes = std::array<std::uint8_t, 16>;

    [[nodiscard]] std::optional<mac_bytes> mac(const keyed_mac& key,
                                               std::span<const std::uint8_t> data) const;
    [[nodiscard]] std::string seal(std::span<std::uint8_t> buffer, std::size_t size) const;
    [[nodiscard]] std::optional<std::span<const std::uint8_t>> open(std::string_view text,
                                                                    std::uint8_t version,
                                                                    std::span<std::uint8_t> buffer,
                                                                    bool authenticate) const;

    std::vector<keyed_mac> m_keys;
};

enum class satisfaction {
    satisfied,
    behind,         ///< The snapshot does not contain the write yet.
    position_lost,  ///< The write was lost when a later term began.
    term_unknown,   ///< The history does not show where the write's term ended.
};

/// Tells whether a snapshot with this stamp contains the session's write.
satisfaction satisfies(const position_stamp& stamp, const session_entry& entry,
                       const term_history& history);

/// True if the history contains a term after `term`. Otherwise `term_unknown` only means that the
/// history is out of date.
bool knows_term_after(const term_history& history, term_number term);

}  // namespace jasminelead
