#include "peer_codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

using namespace jasminelead;
using namespace jasminelead::daemon;

namespace {

std::string text() {
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
}
std::uint64_t number() {
    return *rc::gen::element<std::uint64_t>(0, 1, INT64_MAX, UINT64_MAX, 42);
}
bool flag() {
    return *rc::gen::arbitrary<bool>();
}
duration span() {
    return duration::from_us(*rc::gen::inRange<std::int64_t>(-5, 1'000'000'000));
}
call_id call() {
    return {static_cast<call_module>(*rc::gen::inRange(0, 6)), number()};
}
position_stamp stamp() {
    return {number(), number(), number(), flag() ? endpoint_role::primary : endpoint_role::replica};
}
transaction_ref transaction() {
    return {host_id{text()}, number(), number()};
}
term_history terms() {
    term_history history;
    history.push({number(), number()});
    history.push({number(), number()});
    return history;
}
std::vector<member_update> updates() {
    return {{host_id{text()}, number(), static_cast<liveness>(*rc::gen::inRange(0, 4))}};
}
outcome any_outcome() {
    const auto why = static_cast<reason>(*rc::gen::inRange<int>(0, reason_count));
    switch (*rc::gen::inRange(0, 3)) {
        case 0:
            return done{text()};
        case 1:
            return not_run{why, text()};
        default:
            return unknown_outcome{why, text()};
    }
}
statement_call any_call() {
    return {call(),
            endpoint_id{text()},
            request_kind::commit,
            service_id{text()},
            group_id{text()},
            text(),
            flag(),
            flag(),
            flag(),
            span(),
            transaction()};
}
statement_reply any_reply() {
    statement_reply reply{call(), endpoint_id{text()}, any_outcome(), {}, transaction(), {}};
    if (flag()) {
        reply.stamp = stamp();
        reply.view = group_view{number(), endpoint_id{text()}};
    }
    return reply;
}
deltas_reply any_deltas() {
    deltas_reply reply{number(), {}, {text(), text()}};
    if (flag()) {
        reply.snapshot = text();
    }
    return reply;
}
group_report any_report() {
    return {group_id{text()},
            {number(), endpoint_id{text()}},
            {{endpoint_id{text()}, stamp(), span()}},
            terms()};
}

/// One message of each type.
std::vector<peer_message> all_messages() {
    return {any_call(),
            any_reply(),
            ping{number(), number(), number(), updates()},
            ping_ack{number(), number(), number(), updates()},
            ping_request{number(), host_id{text()}},
            ping_request_ack{number(), host_id{text()}},
            revision_rumor{number()},
            deltas_request{number()},
            any_deltas(),
            group_query{group_id{text()}},
            any_report(),
            switchover_requested{group_id{text()}, endpoint_id{text()}}};
}

}  // namespace

// The encoder writes every member, so equal texts prove that decoding preserved all of them.
TEST_CASE("every peer message survives encoding and decoding") {
    CHECK(rc::check([] {
        RC_ASSERT(all_messages().size() == std::variant_size_v<peer_message>);
        for (const peer_message& message : all_messages()) {
            const std::string encoded = encode_peer_message(message);
            const auto decoded = decode_peer_message(encoded);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded->index() == message.index());
            RC_ASSERT(encode_peer_message(*decoded) == encoded);
        }
    }));
}

// Guards against truncated messages or messages of another version being decoded as valid ones.
TEST_CASE("damaged and unknown messages are refused") {
    CHECK(rc::check([] {
        for (const peer_message& message : all_messages()) {
            const std::string encoded = encode_peer_message(message);
            const auto size = *rc::gen::inRange<std::size_t>(0, encoded.size());
            RC_ASSERT_FALSE(decode_peer_message(encoded.substr(0, size)).has_value());
        }
    }));
    CHECK(decode_peer_message(R"({"type":"deltas_request","since":3})"));
    CHECK_FALSE(decode_peer_message(R"({"type":"deltas_request","since":3,"extra":1})"));
    CHECK_FALSE(decode_peer_message(R"({"type":"deltas_request","since":-3})"));
    CHECK_FALSE(decode_peer_message(R"({"type":"deltas_request"})"));
    CHECK_FALSE(decode_peer_message(R"({"type":"deltas"})"));
    CHECK_FALSE(decode_peer_message("[]"));
}

TEST_CASE("a frame begins with its length in big-endian order") {
    std::string out;
    append_frame(out, std::string(258, 'x'));
    CHECK(out.substr(0, 4) == std::string{"\0\0\1\2", 4});
    CHECK(frame_length(out) == 258);
}
