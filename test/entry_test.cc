#include "jasminelead/entry.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

using namespace jasminelead;
using namespace jasminelead::literals;

namespace {

const group_id group{"g"};
const endpoint_id a{"a"};  // The initial primary, owned by ha.
const endpoint_id b{"b"};
const endpoint_id c{"c"};

instant ms(double at) {
    return instant::from_ms(at);
}

class fake_groups : public group_source {
public:
    [[nodiscard]] const group_view& view(const group_id& /*group*/) const override {
        return present;
    }
    [[nodiscard]] const term_history& terms(const group_id& /*group*/) const override {
        return history;
    }
    void on_view(const group_id& /*group*/, const group_view& heard, instant /*now*/,
                 action_list& /*out*/) override {
        present = heard.term > present.term ? heard : present;
    }
    void on_stamp(const endpoint_id& /*endpoint*/, const position_stamp& /*stamp*/, instant /*now*/,
                  action_list& /*out*/) override {}

    group_view present{1, a};
    term_history history;
};

token_key make_key() {
    token_key key;
    key.secret.fill(9);
    return key;
}

caller_request write() {
    caller_request request;
    request.id = 1;
    request.service = service_id{"web"};
    request.group = group;
    request.text = "set k 1";
    request.timeout = 1_s;
    return request;
}

caller_request read(std::string session = {}) {
    caller_request request = write();
    request.text = "get k";
    request.read = true;
    request.session = std::move(session);
    return request;
}

position_stamp primary(term_number term, log_position position) {
    return {term, term, position, endpoint_role::primary};
}
position_stamp replica(term_number term, log_position position) {
    return {term, term, position, endpoint_role::replica};
}

struct fixture {
    invariants checks{true};
    core_context context;
    fake_groups groups;
    token_codec tokens{{make_key()}};
    std::unique_ptr<entry> tested;
    action_list out;

    fixture() {
        context.data_centre = data_centre_id{"d2"};
        context.checks = &checks;
        std::vector<host_entry> hosts;
        std::vector<endpoint_entry> endpoints;
        for (const char* name : {"a", "b", "c"}) {
            const data_centre_id place{std::string{"d"} + name};
            hosts.push_back({host_id{std::string{"h"} + name}, place, "", member_state::live});
            endpoints.push_back({endpoint_id{name}, group, place, "", member_state::live});
        }
        context.fleet = std::make_shared<directory>(hosts, endpoints);
        table config;
        config.services[service_id{"web"}] = {};
        context.config = std::make_shared<table>(config);
        groups.history.push({1, 0});
        start();
    }
    void start() { tested = std::make_unique<entry>(context, groups, tokens); }

    template <class T>
    std::vector<T> all() const {
        std::vector<T> found;
        for (const action& each : out) {
            if (const auto* wanted = std::get_if<T>(&each)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }
    template <class T>
    std::vector<std::pair<host_id, T>> sent() const {
        std::vector<std::pair<host_id, T>> found;
        for (const send_peer& each : all<send_peer>()) {
            if (const auto* wanted = std::get_if<T>(&each.message)) {
                found.emplace_back(each.to, *wanted);
            }
        }
        return found;
    }
    std::size_t counted(std::string_view counter, std::string_view label) const {
        const auto counts = all<count>();
        return static_cast<std::size_t>(std::count_if(
            counts.begin(), counts.end(),
            [&](const count& each) { return each.counter == counter && each.label == label; }));
    }
    void request(caller_request request, instant now) {
        tested->on_request(std::move(request), now, out);
    }
    /// Answers the latest call without a new view.
    void answer(outcome result, std::optional<position_stamp> stamp, instant now) {
        const auto [owner, call] = sent<statement_call>().back();
        statement_reply reply{call.id, call.endpoint, std::move(result), stamp, {}, std::nullopt};
        reply.transaction = {owner, 1, 77};
        tested->on_reply(owner, std::move(reply), now, out);
    }
    endpoint_id last_endpoint() const { return sent<statement_call>().back().second.endpoint; }
    std::size_t calls() const { return sent<statement_call>().size(); }
    caller_reply only_reply() const {
        const auto replies = all<caller_reply>();
        REQUIRE(replies.size() == 1);
        return replies.front();
    }
    reason refusal() const { return std::get<not_run>(only_reply().result).why; }
    reason unknown_reason() const { return std::get<unknown_outcome>(only_reply().result).why; }
    /// Returns the token of a session that wrote at this term and position.
    std::string session_at(term_number term, log_position position) const {
        session_token token{5};
        REQUIRE(token.set({group, term, position}));
        return tokens.encode(token);
    }
    /// Completes a write, which also records a freshness mark, and returns its session token.
    std::string run_write(log_position position, instant now) {
        request(write(), now);
        answer(done{"{}"}, primary(groups.present.term, position), now);
        std::string session = only_reply().session;
        out.clear();
        return session;
    }
    void run_until(instant end) {
        while (tested->next_wakeup() && *tested->next_wakeup() <= end) {
            tested->tick(*tested->next_wakeup(), out);
        }
    }
};

}  // namespace

TEST_CASE_METHOD(fixture, "a write goes to the primary's owner and its position into the token") {
    request(write(), ms(0));
    const auto calls = sent<statement_call>();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].first == host_id{"ha"});
    CHECK(calls[0].second.endpoint == a);
    // 50 ms less than the caller's timeout, so that a refusal at the owner's deadline arrives in
    // time.
    CHECK(calls[0].second.remaining == 950_ms);
    answer(done{"{}"}, primary(1, 12), ms(5));
    CHECK(std::holds_alternative<done>(only_reply().result));
    CHECK(only_reply().endpoint == a);
    const auto token = tokens.decode(only_reply().session);
    REQUIRE(token);
    CHECK(*token->find(group) == session_entry{group, 1, 12});
    CHECK(tested->in_progress() == 0);
    CHECK_FALSE(tested->next_wakeup());
}

TEST_CASE_METHOD(fixture, "requests that cannot be served are refused before anything is sent") {
    const auto refused = [&](caller_request each) {
        out.clear();
        request(std::move(each), ms(0));
        CHECK(calls() == 0);
        return refusal();
    };
    caller_request changed = write();
    changed.session = "forged";
    CHECK(refused(changed) == reason::bad_token);
    changed = write();
    changed.service = service_id{"other"};
    CHECK(refused(changed) == reason::unknown_service);
    changed = write();
    changed.group = group_id{"other"};
    CHECK(refused(changed) == reason::unknown_group);
    changed = write();
    changed.kind = request_kind::commit;
    changed.transaction = "forged";
    CHECK(refused(changed) == reason::bad_token);
    changed.transaction = tokens.encode(transaction_handle{{}, a, group_id{"other"}});
    CHECK(refused(changed) == reason::bad_request);
    session_token full{1};
    for (const char* name : {"1", "2", "3", "4", "5", "6", "7", "8"}) {
        REQUIRE(full.set({group_id{name}, 1, 1}));
    }
    changed = write();
    changed.session = tokens.encode(full);
    CHECK(refused(changed) == reason::session_full);
    context.config = nullptr;
    CHECK(refused(write()) == reason::no_table);
}

TEST_CASE_METHOD(fixture, "a write waits for a primary and is sent when the view changes") {
    groups.present = {1, {}};
    request(write(), ms(0));
    CHECK(calls() == 0);
    CHECK(sent<group_query>().size() == 3);
    run_until(ms(40));
    CHECK(sent<group_query>().size() == 3);
    groups.present = {2, b};
    tested->on_view_changed(group, ms(45), out);
    REQUIRE(calls() == 1);
    CHECK(last_endpoint() == b);
}

TEST_CASE_METHOD(fixture,
                 "queries for a view are rate-limited for the group, not for each request") {
    groups.present = {1, {}};
    for (int i = 0; i < 100; ++i) {
        request(write(), ms(0));
    }
    run_until(ms(500));
    CHECK(sent<group_query>().size() <= 33);  // 3 owners, every 50 ms.
    CHECK(sent<group_query>().size() >= 24);
}

TEST_CASE_METHOD(fixture, "nothing is sent to a primary that the session token proves superseded") {
    for (caller_request each : {read(session_at(2, 12)), write()}) {
        each.session = session_at(2, 12);
        request(each, ms(0));
    }
    CHECK(calls() == 0);
    groups.present = {2, b};
    tested->on_view_changed(group, ms(5), out);
    CHECK(calls() == 2);
    CHECK(last_endpoint() == b);
}

TEST_CASE_METHOD(fixture, "a report with a new view sends waiting writes") {
    groups.present = {1, {}};
    request(write(), ms(0));
    tested->on_report(host_id{"hb"}, {group, {2, b}, {}, {}}, ms(10), out);
    REQUIRE(calls() == 1);
    CHECK(last_endpoint() == b);
}

TEST_CASE_METHOD(fixture,
                 "a write without a primary until its deadline ends with not_run and no_primary") {
    groups.present = {1, {}};
    request(write(), ms(0));
    run_until(ms(2'000));
    CHECK(refusal() == reason::no_primary);
    CHECK(counted("refusal", "no_primary") == 1);
}

TEST_CASE_METHOD(fixture, "a write refused before it ran is sent to the new primary") {
    request(write(), ms(0));
    groups.present = {2, b};
    answer(not_run{reason::not_primary, ""}, std::nullopt, ms(5));
    REQUIRE(calls() == 2);
    CHECK(last_endpoint() == b);
    CHECK(counted("retry", "not_primary") == 1);
    answer(done{"{}"}, primary(2, 13), ms(9));
    CHECK(std::holds_alternative<done>(only_reply().result));
}

TEST_CASE_METHOD(fixture, "refused writes wait for the retry budget instead of ending") {
    for (int i = 0; i < 50; ++i) {
        request(write(), ms(0));
    }
    for (const auto& [owner, call] : sent<statement_call>()) {
        tested->on_reply(owner, {call.id, a, not_run{reason::endpoint_unavailable, ""}, {}, {}, {}},
                         ms(1), out);
    }
    run_until(ms(300));
    CHECK(calls() == 50 + 15);
    CHECK(all<caller_reply>().empty());
    groups.present = {2, b};
    tested->on_view_changed(group, ms(301), out);
    CHECK(calls() == 50 + 15 + 35);
}

TEST_CASE_METHOD(fixture, "a write with a lost answer is not repeated") {
    request(write(), ms(0));
    tested->on_peer_failed({host_id{"ha"}, endpoint_error::reset}, ms(5), out);
    CHECK(unknown_reason() == reason::peer_lost);
    CHECK(calls() == 1);
}

TEST_CASE_METHOD(fixture, "an idempotent write with a lost answer is repeated") {
    caller_request repeatable = write();
    repeatable.idempotent = true;
    request(repeatable, ms(0));
    tested->on_peer_failed({host_id{"ha"}, endpoint_error::reset}, ms(5), out);
    run_until(ms(50));
    CHECK(calls() == 2);
    CHECK(counted("retry", "peer_lost") == 1);
    // The first attempt may have run, so the outcome stays unknown when the second is refused.
    answer(not_run{reason::statement_error, ""}, std::nullopt, ms(60));
    CHECK(unknown_reason() == reason::peer_lost);
}

TEST_CASE_METHOD(fixture, "a write that was never sent is repeated") {
    request(write(), ms(0));
    const auto call = sent<statement_call>().back().second;
    tested->on_peer_call_unsent({host_id{"ha"}, call.id}, ms(1), out);
    run_until(ms(50));
    CHECK(calls() == 2);
    CHECK(counted("retry", "peer_unreachable") == 1);
}

TEST_CASE_METHOD(fixture, "without the retry guard a write runs twice") {
    invariants lenient;
    context.checks = &lenient;
    context.enabled.retry_guard = false;
    request(write(), ms(0));
    answer(unknown_outcome{reason::connection_lost, ""}, std::nullopt, ms(5));
    run_until(ms(50));
    CHECK(calls() == 2);
    CHECK(lenient.broken(promise::at_most_once) == 1);
}

TEST_CASE_METHOD(fixture, "the outcome of a call in flight at the deadline is unknown") {
    request(write(), ms(0));
    run_until(ms(1'000));
    CHECK(unknown_reason() == reason::deadline);
    answer(done{"{}"}, primary(1, 12), ms(1'001));
    CHECK(counted("dropped_reply", "late") == 1);
    CHECK(all<caller_reply>().size() == 1);
}

TEST_CASE_METHOD(fixture, "an answer from another endpoint or host than asked is dropped") {
    invariants lenient;
    context.checks = &lenient;
    request(write(), ms(0));
    const auto call = sent<statement_call>().back().second;
    tested->on_reply(host_id{"ha"}, {call.id, b, done{"{}"}, primary(1, 1), {}, {}}, ms(1), out);
    tested->on_reply(host_id{"hb"}, {call.id, a, done{"{}"}, primary(1, 1), {}, {}}, ms(1), out);
    CHECK(all<caller_reply>().empty());
    CHECK(lenient.broken(promise::answer_integrity) == 2);
}

TEST_CASE_METHOD(fixture, "a stale answer is dropped and the read is sent elsewhere") {
    const std::string session = run_write(12, ms(0));
    request(read(session), ms(5));
    const endpoint_id first = last_endpoint();
    REQUIRE(first != a);
    answer(done{R"("old")"}, replica(1, 11), ms(6));
    CHECK(all<caller_reply>().empty());
    CHECK(counted("retry", "stale_answer") == 1);
    run_until(ms(30));
    REQUIRE(calls() == 2);
    CHECK(last_endpoint() != first);
    answer(done{R"("new")"}, primary(1, 12), ms(31));
    CHECK(std::get<done>(only_reply().result).result == R"("new")");
}

TEST_CASE_METHOD(fixture, "without the token check a session misses its own write") {
    invariants lenient;
    context.checks = &lenient;
    context.enabled.token_check = false;
    run_write(11, ms(0));
    const std::string session = run_write(12, ms(10));
    request(read(session), ms(15));
    // The freshness mark of the first write proves the age of this answer.
    answer(done{R"("old")"}, replica(1, 11), ms(16));
    CHECK(std::get<done>(only_reply().result).result == R"("old")");
    CHECK(lenient.broken(promise::read_your_writes) == 1);
    std::string forged = session;
    forged.back() = forged.back() == 'A' ? 'Q' : 'A';
    out.clear();
    request(read(forged), ms(17));
    CHECK(calls() == 1);
}

TEST_CASE_METHOD(fixture, "a replica's answer is accepted only with a proven age") {
    run_write(12, ms(0));
    request(read(), ms(10));
    REQUIRE(last_endpoint() != a);
    answer(done{"{}"}, replica(1, 11), ms(12));  // Does not reach the only freshness mark.
    CHECK(all<caller_reply>().empty());
    answer(done{"{}"}, replica(1, 12), ms(14));
    CHECK(only_reply().endpoint != a);
    CHECK(counted("replica_reads", "") == 1);
}

TEST_CASE_METHOD(fixture, "a maximum age of 0 requires a confirmed read from the primary") {
    run_write(12, ms(0));
    caller_request fresh = read();
    fresh.max_age = 0_ms;
    request(fresh, ms(10));
    CHECK(last_endpoint() == a);
    CHECK(sent<statement_call>().back().second.confirm);
    answer(done{"{}"}, primary(1, 12), ms(12));
    CHECK(only_reply().endpoint == a);
}

TEST_CASE_METHOD(fixture, "a primary that a newer view has superseded does not answer reads") {
    request(read(), ms(0));
    REQUIRE(last_endpoint() == a);
    groups.present = {2, b};
    groups.history.push({2, 12});
    answer(done{"{}"}, primary(1, 12), ms(5));
    CHECK(all<caller_reply>().empty());
}

TEST_CASE_METHOD(
    fixture,
    "the maximum age of a request overrides the service's and that overrides the group's") {
    table config;
    config.groups[group] = {5_s, durability::replica};
    config.services[service_id{"web"}] = {0, 0_ms, 1};
    context.config = std::make_shared<table>(config);
    run_write(12, ms(0));
    request(read(), ms(1));
    CHECK(last_endpoint() == a);
    caller_request old = read();
    old.max_age = 1_s;
    request(old, ms(2));
    CHECK(last_endpoint() != a);
}

TEST_CASE_METHOD(fixture, "a read is repeated elsewhere when its owner is lost") {
    run_write(12, ms(0));
    request(read(), ms(10));
    const auto [owner, call] = sent<statement_call>().back();
    tested->on_peer_failed({owner, endpoint_error::reset}, ms(12), out);
    run_until(ms(40));
    REQUIRE(calls() == 2);
    CHECK(last_endpoint() != call.endpoint);
}

TEST_CASE_METHOD(fixture, "a lost write of the session is reported until the loss is accepted") {
    groups.present = {2, b};
    groups.history.push({2, 10});
    const std::string session = session_at(1, 12);
    for (caller_request lossy : {read(session), write()}) {
        out.clear();
        lossy.session = session;
        request(lossy, ms(0));
        CHECK(refusal() == reason::session_position_lost);
        CHECK(only_reply().session == session);
    }
    out.clear();
    caller_request accepting = read(session);
    accepting.accept_loss = true;
    request(accepting, ms(1));
    answer(done{"{}"}, primary(2, 11), ms(3));
    REQUIRE(std::holds_alternative<done>(only_reply().result));
    CHECK(tokens.decode(only_reply().session)->entries().empty());
}

TEST_CASE_METHOD(fixture, "a read waits for the term history that covers its session's term") {
    groups.present = {2, b};
    request(read(session_at(1, 12)), ms(0));
    REQUIRE(last_endpoint() == b);
    answer(done{"{}"}, primary(2, 13), ms(2));
    CHECK(all<caller_reply>().empty());
    CHECK(sent<group_query>().size() == 3);
    groups.history.push({2, 12});
    tested->on_view_changed(group, ms(5), out);
    answer(done{"{}"}, primary(2, 13), ms(7));
    CHECK(std::holds_alternative<done>(only_reply().result));
}

TEST_CASE_METHOD(fixture, "a transaction stays with the owner and endpoint of its handle") {
    caller_request begin = write();
    begin.kind = request_kind::begin;
    request(begin, ms(0));
    answer(done{"{}"}, primary(1, 12), ms(1));
    const std::string handle = only_reply().transaction;
    REQUIRE_FALSE(handle.empty());
    groups.present = {2, b};
    out.clear();
    caller_request commit = write();
    commit.kind = request_kind::commit;
    commit.transaction = handle;
    request(commit, ms(2));
    const auto [owner, call] = sent<statement_call>().back();
    CHECK(owner == host_id{"ha"});
    CHECK(call.endpoint == a);
    CHECK(call.transaction == transaction_ref{host_id{"ha"}, 1, 77});
    answer(not_run{reason::not_primary, ""}, std::nullopt, ms(3));
    CHECK(refusal() == reason::not_primary);
    CHECK(calls() == 1);
}

TEST_CASE_METHOD(fixture, "the position of a commit is stored in the token") {
    caller_request commit = write();
    commit.kind = request_kind::commit;
    commit.transaction = tokens.encode(transaction_handle{{host_id{"ha"}, 1, 7}, a, group});
    request(commit, ms(0));
    answer(done{"{}"}, primary(1, 30), ms(3));
    CHECK(tokens.decode(only_reply().session)->find(group)->position == 30);
}

TEST_CASE_METHOD(fixture, "explain returns why a request was sent and retried") {
    caller_request asked = write();
    asked.session = session_at(1, 1);
    request(asked, ms(0));
    groups.present = {2, b};
    groups.history.push({2, 12});
    answer(not_run{reason::not_primary, ""}, std::nullopt, ms(5));
    const auto traces = tested->explain(5);
    REQUIRE(traces.size() == 1);
    CHECK(traces[0].steps == std::vector<std::string>{"sent to a, primary",
                                                      "retry after not_primary",
                                                      "sent to b, primary"});
    CHECK(tested->explain(6).empty());
}

namespace {

/// Issues random requests and applies random answers, link failures and views to them.
struct random_run : fixture {
    std::map<request_id, caller_request> asked;
    std::map<request_id, int> replies;
    std::size_t seen = 0;
    log_position position = 0;
    double now = 0;

    void ask(int choice) {
        caller_request each = choice % 3 == 0 ? read() : write();
        each.id = asked.size() + 1;
        each.text = std::to_string(each.id);
        each.idempotent = choice % 3 == 1;
        asked[each.id] = each;
        request(each, ms(now));
    }
    void fail_or_answer(int choice) {
        if (calls() == 0) {
            return;
        }
        // Picks any earlier call, so that some answers are late.
        const auto all_calls = sent<statement_call>();
        const auto& [owner, call] =
            all_calls[static_cast<std::size_t>(choice / 8) % all_calls.size()];
        statement_reply reply{call.id, call.endpoint, done{"{}"}, {}, {}, {}};
        switch (choice % 8) {
            case 0:
                tested->on_peer_failed({owner, endpoint_error::reset}, ms(now), out);
                return;
            case 1:
                tested->on_peer_call_unsent({owner, call.id}, ms(now), out);
                return;
            case 2:
                reply.result = unknown_outcome{reason::connection_lost, ""};
                break;
            case 3:
                reply.result = not_run{reason::not_primary, ""};
                reply.view = group_view{groups.present.term + 1, b};
                groups.history.push({groups.present.term + 1, position});
                break;
            case 4:
                reply.result = not_run{reason::statement_error, ""};
                break;
            default:
                reply.stamp = call.read ? replica(groups.present.term, position)
                                        : primary(groups.present.term, ++position);
        }
        tested->on_reply(owner, std::move(reply), ms(now), out);
    }
    /// Checks the replies since the last call of this function.
    void inspect() {
        for (; seen < out.size(); ++seen) {
            if (const auto* reply = std::get_if<caller_reply>(&out[seen])) {
                RC_ASSERT(++replies[reply->id] == 1);
            }
        }
    }
};

}  // namespace

TEST_CASE("each request gets exactly one reply whatever happens to its calls") {
    // Guards against a request without a reply or with two. The strict invariants also abort when a
    // write that may have run is sent again, or a request that may have run is reported as not run.
    const bool holds = rc::check([](const std::vector<std::uint16_t>& choices) {
        random_run run;
        for (const std::uint16_t choice : choices) {
            run.now += choice % 7;
            if (choice % 4 == 0) {
                run.ask(choice / 4);
            } else {
                run.fail_or_answer(choice / 4);
            }
            run.tested->tick(ms(run.now), run.out);
            run.inspect();
        }
        run.run_until(ms(run.now + 2'000));
        run.inspect();
        RC_ASSERT(run.tested->in_progress() == 0);
        RC_ASSERT(run.replies.size() == run.asked.size());
        RC_ASSERT(!run.tested->next_wakeup());
    });
    CHECK(holds);
}
