#include "jasminelead/account.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace jasminelead {
namespace {

static_assert(key_digest::size == SHA256_DIGEST_LENGTH);

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr unsigned bits_per_digit = 4;
constexpr unsigned bits_per_byte = 8;
constexpr unsigned low_digit = 0xf;

std::optional<unsigned> digit_value(char digit) {
    const std::size_t value = hex_digits.find(digit);
    return value == std::string_view::npos ? std::nullopt
                                           : std::optional{static_cast<unsigned>(value)};
}

}  // namespace

key_digest key_digest::of(std::string_view key) {
    key_digest digest;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the C interface takes bytes.
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.m_bytes.data());
    return digest;
}

std::optional<key_digest> key_digest::from_hex(std::string_view text) {
    if (text.size() != 2 * size) {
        return std::nullopt;
    }
    key_digest digest;
    for (std::size_t i = 0; i < size; ++i) {
        const auto high = digit_value(text[2 * i]);
        const auto low = digit_value(text[2 * i + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        digest.m_bytes.at(i) = static_cast<unsigned char>((*high << bits_per_digit) | *low);
    }
    return digest;
}

std::string key_digest::hex() const {
    std::string text;
    for (const unsigned char byte : m_bytes) {
        text.push_back(hex_digits[byte >> bits_per_digit]);
        text.push_back(hex_digits[byte & low_digit]);
    }
    return text;
}

std::uint64_t key_digest::id() const {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i) {
        value = (value << bits_per_byte) | m_bytes.at(i);
    }
    return value;
}

bool key_digest::equals(const key_digest& other) const {
    return CRYPTO_memcmp(m_bytes.data(), other.m_bytes.data(), size) == 0;
}

void account_directory::add(client_account account) {
    if (account.limit) {
        m_limits.insert_or_assign(account.id, *account.limit);
    }
    m_accounts.push_back(std::move(account));
}

/// Compares with all keys, also after a match. A few microseconds for hundreds of accounts, once a
/// session.
std::optional<caller_identity> account_directory::authenticate(const key_digest& presented) const {
    const client_account* holder = nullptr;
    for (const client_account& account : m_accounts) {
        for (const key_digest& key : account.keys) {
            holder = key.equals(presented) ? &account : holder;
        }
    }
    if (holder == nullptr) {
        return std::nullopt;
    }
    return caller_identity{holder->id, presented.id()};
}

const operation_limit* account_directory::limit(const account_id& account) const {
    const auto found = m_limits.find(account);
    return found == m_limits.end() ? nullptr : &found->second;
}

bool account_directory::holds(const caller_identity& caller) const {
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&](const client_account& account) {
        return account.id == caller.account &&
               std::any_of(account.keys.begin(), account.keys.end(),
                           [&](const key_digest& key) { return key.id() == caller.key_id; });
    });
}

}  // namespace jasminelead
