#include "jasminelead/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <utility>

namespace jasminelead {
namespace {

// Tokens and handles have different version bytes, so that neither is accepted as the other.
constexpr std::uint8_t session_version = 1;
constexpr std::uint8_t handle_version = 129;
constexpr std::size_t mac_size = 16;
constexpr std::size_t header_size = 2;  // Version and key id.
// Maximum decoded size of max_token_length base64url characters.
constexpr std::size_t max_bytes = max_token_length / 4 * 3;
using byte_buffer = std::array<std::uint8_t, max_bytes>;

constexpr std::string_view base64url_alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

constexpr std::uint8_t not_base64url = 255;

constexpr std::array<std::uint8_t, 256> make_base64url_values() {
    std::array<std::uint8_t, 256> values{};
    values.fill(not_base64url);
    for (std::size_t i = 0; i < base64url_alphabet.size(); ++i) {
        values.at(static_cast<std::uint8_t>(base64url_alphabet[i])) = static_cast<std::uint8_t>(i);
    }
    return values;
}
constexpr auto base64url_values = make_base64url_values();

std::string to_base64url(std::span<const std::uint8_t> bytes) {
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 2);
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const std::uint8_t byte : bytes) {
        bits = (bits << 8U) | byte;
        count += 8;
        while (count >= 6) {
            count -= 6;
            text.push_back(base64url_alphabet[(bits >> count) & 63U]);
        }
    }
    if (count > 0) {
        text.push_back(base64url_alphabet[(bits << (6 - count)) & 63U]);
    }
    return text;
}

std::optional<std::size_t> from_base64url(std::string_view text, std::span<std::uint8_t> bytes) {
    if (text.size() > max_token_length || text.size() % 4 == 1) {
        return std::nullopt;
    }
    std::uint32_t bits = 0;
    unsigned count = 0;
    std::size_t size = 0;
    for (const char c : text) {
        const std::uint32_t value = base64url_values[static_cast<std::uint8_t>(c)];
        if (value == not_base64url) {
            return std::nullopt;
        }
        bits = (bits << 6U) | value;
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes[size++] = static_cast<std::uint8_t>(bits >> count);
        }
    }
    // Trailing bits must be zero, so that each token has exactly one encoding.
    if ((bits & ((1U << count) - 1U)) != 0) {
        return std::nullopt;
    }
    return size;
}

/// Appends fields to a buffer. `ok` becomes false once a field does not fit.
struct byte_writer {
    std::span<std::uint8_t> buffer;
    std::size_t size = 0;
    bool ok = true;

    void put(std::uint64_t value, unsigned bytes) {
        ok = ok && size + bytes + mac_size <= buffer.size();
        for (unsigned i = bytes; ok && i > 0; --i) {
            buffer[size++] = static_cast<std::uint8_t>(value >> (8 * (i - 1)));
        }
    }
    void put(std::string_view name) {
        ok = ok && name.size() <= max_token_name;
        put(name.size(), 1);
        for (const char c : name) {
            put(static_cast<std::uint8_t>(c), 1);
        }
    }
};

/// Reads fields from a buffer. `ok` becomes false once the buffer is too short.
struct byte_reader {
    std::span<const std::uint8_t> bytes;
    bool ok = true;

    std::uint64_t get(std::size_t size) {
        std::uint64_t value = 0;
        ok = ok && bytes.size() >= size;
        for (std::size_t i = 0; ok && i < size; ++i) {
            value = (value << 8U) | bytes[i];
        }
        bytes = bytes.subspan(ok ? size : 0);
        return value;
    }
    std::string_view get_name() {
        const std::size_t size = get(1);
        ok = ok && size <= max_token_name && bytes.size() >= size;
        if (!ok) {
            return {};
        }
        const auto name = bytes.first(size);
        bytes = bytes.subspan(size);
        return {reinterpret_cast<const char*>(name.data()), name.size()};
    }
};

EVP_MAC_CTX* as_mac(void* context) {
    return static_cast<EVP_MAC_CTX*>(context);
}

void* make_mac_context(const token_key& key) {
    EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    EVP_MAC_CTX* context = EVP_MAC_CTX_new(algorithm);
    EVP_MAC_free(algorithm);
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters = {
        OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0), OSSL_PARAM_construct_end()};
    if (context != nullptr &&
        EVP_MAC_init(context, key.secret.data(), key.secret.size(), parameters.data()) != 1) {
        EVP_MAC_CTX_free(context);
        return nullptr;
    }
    return context;
}

bool precedes(const session_entry& a, const session_entry& b) {
    return std::pair{a.term, a.position} < std::pair{b.term, b.position};
}

}  // namespace

void detail::mac_context_deleter::operator()(void* context) const {
    EVP_MAC_CTX_free(as_mac(context));
}

const session_entry* session_token::find(const group_id& group) const {
    for (const session_entry& entry : entries()) {
        if (entry.group == group) {
            return &entry;
        }
    }
    return nullptr;
}

bool session_token::is_full_for(const group_id& group) const {
    return m_size == capacity && find(group) == nullptr;
}

bool session_token::set(session_entry entry) {
    if (is_full_for(entry.group)) {
        return false;
    }
    // Concurrent requests of one session may be answered out of order; keep the newest entry.
    if (const session_entry* present = find(entry.group);
        present != nullptr && precedes(entry, *present)) {
        entry = *present;
    }
    erase(entry.group);
    std::move_backward(m_entries.begin(), m_entries.begin() + m_size,
                       m_entries.begin() + m_size + 1);
    m_entries[0] = std::move(entry);
    ++m_size;
    return true;
}

void session_token::erase(const group_id& group) {
    const auto end = m_entries.begin() + m_size;
    const auto kept = std::remove_if(m_entries.begin(), end, [&group](const session_entry& entry) {
        return entry.group == group;
    });
    m_size -= static_cast<std::size_t>(end - kept);
}

token_codec::token_codec(const std::vector<token_key>& keys) {
    for (const token_key& key : keys) {
        keyed_mac keyed;
        keyed.id = key.id;
        keyed.context.reset(make_mac_context(key));
        if (keyed.context) {
            m_keys.push_back(std::move(keyed));
        }
    }
}

std::optional<token_codec::mac_bytes> token_codec::mac(const keyed_mac& key,
                                                       std::span<const std::uint8_t> data) const {
    EVP_MAC_CTX* context = as_mac(key.context.get());
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
    std::size_t size = 0;
    // EVP_MAC_init without a key reuses the previous key, which avoids the cost of key setup.
    if (EVP_MAC_init(context, nullptr, 0, nullptr) != 1 ||
        EVP_MAC_update(context, data.data(), data.size()) != 1 ||
        EVP_MAC_final(context, digest.data(), &size, digest.size()) != 1 || size < mac_size) {
        return std::nullopt;
    }
    mac_bytes truncated{};
    std::copy_n(digest.begin(), mac_size, truncated.begin());
    return truncated;
}

std::string token_codec::seal(std::span<std::uint8_t> buffer, std::size_t size) const {
    if (m_keys.empty()) {
        return {};
    }
    buffer[1] = m_keys.front().id;
    const auto sum = mac(m_keys.front(), buffer.first(size));
    if (!sum) {
        return {};
    }
    std::copy(sum->begin(), sum->end(), buffer.begin() + static_cast<std::ptrdiff_t>(size));
    return to_base64url(buffer.first(size + mac_size));
}

std::optional<std::span<const std::uint8_t>> token_codec::open(std::string_view text,
                                                               std::uint8_t version,
                                                               std::span<std::uint8_t> buffer,
                                                               bool authenticate) const {
    const auto size = from_base64url(text, buffer);
    if (!size || *size < header_size + mac_size || buffer[0] != version) {
        return std::nullopt;
    }
    const std::span<const std::uint8_t> signed_bytes = buffer.first(*size - mac_size);
    const std::span<const std::uint8_t> body = signed_bytes.subspan(header_size);
    if (!authenticate) {
        return body;
    }
    for (const keyed_mac& key : m_keys) {
        if (key.id != buffer[1]) {
            continue;
        }
        const auto expected = mac(key, signed_bytes);
        if (expected &&
            CRYPTO_memcmp(expected->data(), &buffer[signed_bytes.size()], mac_size) == 0) {
            return body;
        }
    }
    return std::nullopt;
}

std::string token_codec::encode(const session_token& token) const {
    byte_buffer buffer{};
    byte_writer writer{buffer};
    writer.put(session_version, 1);
    writer.put(0, 1);
    writer.put(token.id(), 8);
    writer.put(token.entries().size(), 1);
    for (const session_entry& entry : token.entries()) {
        writer.put(entry.group.str());
        writer.put(entry.term, 8);
        writer.put(entry.position, 8);
    }
    return writer.ok ? seal(buffer, writer.size) : std::string{};
}

std::optional<session_token> token_codec::decode(std::string_view text, bool authenticate) const {
    byte_buffer buffer{};
    const auto body = open(text, session_version, buffer, authenticate);
    if (!body) {
        return std::nullopt;
    }
    byte_reader reader{*body};
    session_token token{reader.get(8)};
    const std::size_t count = reader.get(1);
    if (count > session_token::capacity) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < count; ++i) {
        session_entry& entry = token.m_entries.at(i);
        entry.group = group_id{reader.get_name()};
        entry.term = reader.get(8);
        entry.position = reader.get(8);
    }
    token.m_size = count;
    if (!reader.ok || !reader.bytes.empty()) {
        return std::nullopt;
    }
    return token;
}

std::string token_codec::encode(const transaction_handle& handle) const {
    byte_buffer buffer{};
    byte_writer writer{buffer};
    writer.put(handle_version, 1);
    writer.put(0, 1);
    writer.put(handle.transaction.owner.str());
    writer.put(handle.transaction.incarnation, 8);
    writer.put(handle.transaction.number, 8);
    writer.put(handle.endpoint.str());
    writer.put(handle.group.str());
    return writer.ok ? seal(buffer, writer.size) : std::string{};
}

std::optional<transaction_handle> token_codec::decode_handle(std::string_view text,
                                                             bool authenticate) const {
    byte_buffer buffer{};
    const auto body = open(text, handle_version, buffer, authenticate);
    if (!body) {
        return std::nullopt;
    }
    byte_reader reader{*body};
    transaction_handle handle;
    handle.transaction.owner = host_id{reader.get_name()};
    handle.transaction.incarnation = reader.get(8);
    handle.transaction.number = reader.get(8);
    handle.endpoint = endpoint_id{reader.get_name()};
    handle.group = group_id{reader.get_name()};
    if (!reader.ok || !reader.bytes.empty()) {
        return std::nullopt;
    }
    return handle;
}

namespace {

const term_start* first_term_after(const term_history& history, term_number term) {
    return std::find_if(history.begin(), history.end(),
                        [term](const term_start& start) { return start.term > term; });
}

}  // namespace

bool knows_term_after(const term_history& history, term_number term) {
    return first_term_after(history, term) != history.end();
}

satisfaction satisfies(const position_stamp& stamp, const session_entry& entry,
                       const term_history& history) {
    if (stamp.log_term < entry.term) {
        return satisfaction::behind;
    }
    if (stamp.log_term > entry.term) {
        const term_start* next = first_term_after(history, entry.term);
        if (next == history.end()) {
            return satisfaction::term_unknown;
        }
        // A full history may have dropped terms between the entry's term and its oldest term.
        const bool may_miss_terms = next == history.begin() &&
                                    history.size() == term_history::capacity &&
                                    next->term != entry.term + 1;
        if (may_miss_terms) {
            return satisfaction::term_unknown;
        }
        if (entry.position > next->position) {
            return satisfaction::position_lost;
        }
    }
    return stamp.position >= entry.position ? satisfaction::satisfied : satisfaction::behind;
}

}  // namespace jasminelead
