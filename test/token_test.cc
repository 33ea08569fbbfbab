#include "jasminelead/token.h"

#include <catch2/catch.hpp>

using namespace jasminelead;

namespace {

token_key key(std::uint8_t id) {
    token_key made;
    made.id = id;
    made.secret.fill(id);
    return made;
}

session_token full_token() {
    session_token token{42};
    for (char group = 'a'; group < 'i'; ++group) {
        REQUIRE(token.set({group_id{std::string(max_token_name, group)}, 3, 7}));
    }
    return token;
}

term_history history(std::initializer_list<term_start> starts) {
    term_history made;
    for (const term_start& start : starts) {
        made.push(start);
    }
    return made;
}

position_stamp at(term_number term, log_position position) {
    return {term, term, position, endpoint_role::replica};
}

}  // namespace

TEST_CASE("a full token with the longest names round-trips within the length limit") {
    const token_codec codec{{key(1)}};
    const session_token token = full_token();
    const std::string text = codec.encode(token);
    CHECK(text.size() <= max_token_length);
    const auto decoded = codec.decode(text);
    REQUIRE(decoded);
    CHECK(decoded->id() == token.id());
    CHECK(std::equal(decoded->entries().begin(), decoded->entries().end(), token.entries().begin(),
                     token.entries().end()));
}

// Guards against forged or truncated tokens.
TEST_CASE("a token changed in any character is refused") {
    const token_codec codec{{key(1)}};
    session_token token{42};
    REQUIRE(token.set({group_id{"shows"}, 3, 7}));
    const std::string text = codec.encode(token);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        CHECK_FALSE(codec.decode(changed));
        CHECK_FALSE(codec.decode(text.substr(0, i)));
    }
    CHECK_FALSE(codec.decode(text + "A"));
    CHECK_FALSE(codec.decode(std::string(2 * max_token_length, 'A')));
}

TEST_CASE("tokens of both keys are accepted during key rotation, others are not") {
    const std::string text = token_codec{{key(1)}}.encode(session_token{42});
    CHECK(token_codec{{key(2), key(1)}}.decode(text));
    CHECK_FALSE(token_codec{{key(2)}}.decode(text));
    token_key same_id = key(2);
    same_id.id = 1;
    CHECK_FALSE(token_codec{{same_id}}.decode(text));
}

TEST_CASE("the MAC is HMAC-SHA256 truncated to 16 bytes, for consecutive messages") {
    // Guards against state left in the reused MAC context. The expected values come from Python's
    // hmac module.
    const token_codec codec{{key(1)}};
    const std::string first = codec.encode(session_token{1});
    CHECK(first == codec.encode(session_token{1}));
    CHECK(first == "AQEAAAAAAAAAAQCVj3BrDobyyOzMGl_ac8XX");
    CHECK(codec.encode(session_token{2}) == "AQEAAAAAAAAAAgBfR2ErOUZDbxA99bCn90pk");
}

TEST_CASE("a name that is too long is neither encoded nor decoded") {
    const token_codec codec{{key(1)}};
    session_token token{1};
    REQUIRE(token.set({group_id{std::string(max_token_name + 1, 'g')}, 1, 1}));
    CHECK(codec.encode(token).empty());
}

TEST_CASE("a transaction handle round-trips and is not accepted as a session token") {
    const token_codec codec{{key(1)}};
    const transaction_handle handle{{host_id{"h1"}, 5, 9}, endpoint_id{"e1"}, group_id{"g"}};
    const std::string text = codec.encode(handle);
    CHECK(codec.decode_handle(text) == handle);
    CHECK_FALSE(codec.decode(text));
    CHECK_FALSE(codec.decode_handle(codec.encode(session_token{1})));
    CHECK_FALSE(token_codec{{key(2)}}.decode_handle(text));
}

TEST_CASE("the latest written group comes first and a ninth group does not fit") {
    session_token token = full_token();
    const group_id oldest{std::string(max_token_name, 'a')};
    REQUIRE(token.set({oldest, 3, 8}));
    CHECK(token.entries().front().group == oldest);
    CHECK(token.entries().size() == session_token::capacity);
    CHECK(token.is_full_for(group_id{"ninth"}));
    CHECK_FALSE(token.set({group_id{"ninth"}, 1, 1}));
    token.erase(oldest);
    CHECK(token.set({group_id{"ninth"}, 1, 1}));
}

// Guards against a session that no longer sees its latest write because answers arrive out of
// order.
TEST_CASE("a late answer does not replace a newer entry") {
    session_token token{1};
    REQUIRE(token.set({group_id{"g"}, 2, 9}));
    REQUIRE(token.set({group_id{"g"}, 2, 5}));
    REQUIRE(token.set({group_id{"g"}, 1, 50}));
    CHECK(token.find(group_id{"g"})->position == 9);
}

// Guards against reads from a snapshot that lacks the session's write.
TEST_CASE("a stamp satisfies an entry only if it provably contains the write") {
    const session_entry entry{group_id{"g"}, 3, 10};
    const term_history terms = history({{1, 0}, {3, 4}, {5, 12}});
    CHECK(satisfies(at(3, 10), entry, terms) == satisfaction::satisfied);
    CHECK(satisfies(at(3, 9), entry, terms) == satisfaction::behind);
    CHECK(satisfies(at(2, 99), entry, terms) == satisfaction::behind);
    CHECK(satisfies(at(5, 12), entry, terms) == satisfaction::satisfied);
    CHECK(satisfies(at(5, 9), entry, terms) == satisfaction::behind);
    const session_entry lost{group_id{"g"}, 3, 13};
    CHECK(satisfies(at(5, 99), lost, terms) == satisfaction::position_lost);
}

// Guards against treating a write as visible when the history may have dropped the term that lost
// it.
TEST_CASE("a term outside the known history is unknown, not satisfied") {
    const session_entry entry{group_id{"g"}, 3, 10};
    CHECK(satisfies(at(5, 99), entry, history({{1, 0}, {3, 4}})) == satisfaction::term_unknown);
    CHECK_FALSE(knows_term_after(history({{1, 0}, {3, 4}}), 3));
    term_history full;
    for (term_number term = 0; term < term_history::capacity; ++term) {
        full.push({term + 5, 100});
    }
    CHECK(satisfies(at(20, 200), entry, full) == satisfaction::term_unknown);
    const session_entry next{group_id{"g"}, 4, 10};
    CHECK(satisfies(at(20, 200), next, full) == satisfaction::satisfied);
}
