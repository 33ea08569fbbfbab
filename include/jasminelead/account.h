#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/account_limit.h"
#include "jasminelead/types.h"

/// Client accounts, and the keys with which callers authenticate as them.
namespace jasminelead {

/// SHA-256 digest of a key. Hosts store and exchange digests, never keys.
class key_digest {
public:
    static constexpr std::size_t size = 32;

    /// Digest of the key that a caller presents.
    static key_digest of(std::string_view key);
    /// Returns nothing unless the text is a digest as `hex` returns it.
    static std::optional<key_digest> from_hex(std::string_view text);

    [[nodiscard]] std::string hex() const;
    /// Names the key in messages between hosts. The key cannot be derived from it.
    [[nodiscard]] std::uint64_t id() const;
    /// Takes the same time for all digests.
    [[nodiscard]] bool equals(const key_digest& other) const;

private:
    std::array<unsigned char, size> m_bytes{};
};

struct client_account {
    account_id id;
    std::vector<key_digest> keys;
    std::optional<operation_limit> limit{};
};

/// Who sends the statements of a session. The account is empty for callers of public routes.
struct caller_identity {
    account_id account;
    std::uint64_t key_id = 0;
    bool operator==(const caller_identity&) const = default;
};

/// A caller, and the version of the configuration that authenticated it.
struct authenticated_caller {
    caller_identity identity;
    revision_number version = 0;
};

/// The accounts of one configuration version.
class account_directory {
public:
    void add(client_account account);
    [[nodiscard]] bool empty() const { return m_accounts.empty(); }
    [[nodiscard]] std::size_t size() const { return m_accounts.size(); }
    /// The caller that holds the key; nothing for an unknown key. The time depends only on the
    /// number of keys, so that it reveals nothing about them.
    [[nodiscard]] std::optional<caller_identity> authenticate(const key_digest& presented) const;
    /// True if the account still has the key.
    [[nodiscard]] bool holds(const caller_identity& caller) const;
    /// Null for an account without a limit, and for an unknown one.
    [[nodiscard]] const operation_limit* limit(const account_id& account) const;
    [[nodiscard]] bool has_limits() const { return !m_limits.empty(); }

private:
    std::vector<client_account> m_accounts;
    std::map<account_id, operation_limit> m_limits;
};

/// When a host relies on its copy of the accounts.
struct key_trust {
    /// Refuse keys when the copy may be out of date, instead of serving with the last known one.
    bool fail_closed = false;
    /// Time within which a removed key has to be refused everywhere.
    duration revocation_limit;

    /// `age`: time since the store last confirmed the copy.
    [[nodiscard]] bool allows(duration age) const { return !fail_closed || age < revocation_limit; }
};

}  // namespace jasminelead
