#include "jasminelead/owner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

#include "endpoint_model.h"

using namespace jasminelead;
using namespace jasminelead::literals;
using support::endpoint_model;

namespace {

const group_id group{"shows"};
const endpoint_id a{"a"};
const endpoint_id b{"b"};
const service_id entries{"entries"};
const service_id fees{"fees"};

struct fake_groups : group_authority {
    const group_view& view(const group_id&) const override { return current; }
    bool writes_held(const group_id&) const override { return held; }
    void on_stamp(const endpoint_id&, const position_stamp&, instant, action_list&) override {
        ++stamps;
    }
    void on_connection_error(const endpoint_id&, endpoint_error error, instant,
                             action_list&) override {
        errors.push_back(error);
    }
    group_view current{1, a};
    bool held = false;
    int stamps = 0;
    std::vector<endpoint_error> errors;
};

struct fake_confirmations : write_confirmation {
    ticket submit(const group_id&, const endpoint_id&, const position_stamp&, instant, instant,
                  action_list&) override {
        waiting.push_back({++last, true});
        return last;
    }
    std::vector<result> take_results() override {
        for (result& item : waiting) {
            item.confirmed = confirm;
        }
        return std::exchange(waiting, {});
    }
    bool has_majority(const group_id&, instant) const override { return majority; }
    std::vector<result> waiting;
    ticket last = 0;
    bool confirm = true;
    bool majority = true;
};

endpoint_model make_endpoint(const endpoint_id& id) {
    const endpoint_entry entry{id, group, data_centre_id{"a"}, "", member_state::live};
    return {entry, id == a ? endpoint_role::primary : endpoint_role::replica, {}};
}

struct call_spec {
    endpoint_id endpoint = a;
    request_kind kind = request_kind::statement;
    service_id service = entries;
    std::string text = {};
    bool read = false;
    bool confirm = false;
    duration remaining = 5_s;
    transaction_ref transaction = {};
};

/// Drives one owner and performs its actions on the endpoint models.
class test_daemon {
public:
    test_daemon(const char* name, std::vector<endpoint_model*> endpoints, bool strict = true)
        : checks{strict}, m_endpoints{std::move(endpoints)} {
        context.self = host_id{name};
        context.incarnation = 7;
        context.checks = &checks;
        m_table.services[entries] = {100, std::nullopt, 1};
        m_table.services[fees] = {100, std::nullopt, 1};
        m_table.endpoints[a] = m_table.endpoints[b] = {group, 100, 4, 2};
        context.config = std::make_shared<table>(m_table);
    }

    void set_fleet(const std::vector<const char*>& hosts, member_state state = member_state::live) {
        std::vector<host_entry> entries_of_hosts;
        for (const char* host : hosts) {
            entries_of_hosts.push_back({host_id{host}, data_centre_id{"a"}, "", {}});
        }
        std::vector<endpoint_entry> listed;
        for (const endpoint_model* endpoint : m_endpoints) {
            listed.push_back(endpoint->entry());
            listed.back().state = state;
        }
        context.fleet = std::make_shared<directory>(entries_of_hosts, listed);
        feed([&](action_list& out) { subject.on_fleet_changed(now, out); });
    }
    void set_table(const std::function<void(table&)>& edit) {
        edit(m_table);
        context.config = std::make_shared<table>(m_table);
        feed([&](action_list& out) { subject.on_config_changed(now, out); });
    }

    /// Sends a call and returns its number.
    std::uint64_t call(const call_spec& spec) {
        const call_id id{call_module::entry, ++m_last_call};
        const statement_call call{id,           spec.endpoint,  spec.kind,       spec.service,
                                  group,        spec.text,      spec.read,       false,
                                  spec.confirm, spec.remaining, spec.transaction};
        feed([&](action_list& out) { subject.on_call(host_id{"entry"}, call, now, out); });
        return m_last_call;
    }
    std::uint64_t read(const char* text = "get k") { return call({.text = text, .read = true}); }
    std::uint64_t write(const char* text = "set k 1") { return call({.text = text}); }

    void advance(duration time) {
        now = now + time;
        feed([&](action_list& out) { subject.tick(now, out); });
    }
    void confirm() {
        feed([&](action_list& out) { subject.on_confirmations(now, out); });
    }
    void change_view(group_view view, bool held) {
        groups.current = std::move(view);
        groups.held = held;
        feed([&](action_list& out) { subject.on_view_changed(group, now, out); });
    }
    void answer(std::size_t index = 0) {
        REQUIRE(index < running.size());
        const statement_answered first = running[index];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        feed([&](action_list& out) { subject.on_answered(first, now, out); });
    }
    void answer_all() {
        while (!running.empty()) {
            answer();
        }
    }
    void lose(connection_id connection) {
        endpoint_model& endpoint = *m_open.extract(connection).mapped();
        endpoint.disconnect(model_id(connection));
        const connection_lost lost{endpoint.entry().id, connection, endpoint_error::reset};
        feed([&](action_list& out) { subject.on_lost(lost, now, out); });
    }
    void lose_one() {
        if (!m_open.empty()) {
            lose(m_open.begin()->first);
        }
    }
    /// Reports the connections that the endpoints closed.
    void notice_closed() {
        const auto is_closed = [this](const auto& item) {
            return !item.second->is_open(model_id(item.first));
        };
        for (auto next = m_open.begin(); next != m_open.end();) {
            next = std::find_if(m_open.begin(), m_open.end(), is_closed);
            if (next != m_open.end()) {
                lose(next->first);
            }
        }
    }
    void drain() {
        feed([&](action_list& out) { subject.drain(now, out); });
    }

    /// Delivers all answers and confirmations.
    void settle() {
        answer_all();
        confirm();
    }

    /// Outcome and reason of a call's reply; empty when there is no reply.
    std::string outcome_text(std::uint64_t number) const {
        const auto reply = replies.find(number);
        if (reply == replies.end()) {
            return "";
        }
        const outcome& result = reply->second.result;
        if (const auto* refused = std::get_if<not_run>(&result)) {
            return "not_run " + std::string{to_string(refused->why)};
        }
        const auto* unknown = std::get_if<unknown_outcome>(&result);
        return unknown == nullptr ? "done" : "unknown " + std::string{to_string(unknown->why)};
    }
    transaction_ref begin() {
        const std::uint64_t number = call({.kind = request_kind::begin});
        answer_all();
        REQUIRE(outcome_text(number) == "done");
        return replies.at(number).transaction;
    }
    std::uint64_t call_in_transaction(const transaction_ref& ref, request_kind kind,
                                      const char* text = "") {
        return call({.kind = kind, .text = text, .transaction = ref});
    }
    bool is_open(connection_id id) const {
        return m_open.contains(id) && m_open.at(id)->is_open(model_id(id));
    }
    owner::endpoint_status status() const { return subject.status().front(); }

    invariants checks;
    core_context context;
    fake_groups groups;
    fake_confirmations confirmations;
    owner subject{context, groups, confirmations};
    instant now;
    bool fail_opens = false;
    std::vector<statement_answered> running;  ///< Executed; the answers are not delivered yet.
    std::map<std::uint64_t, statement_reply> replies;
    connection_id last_used = 0;  ///< Connection of the last statement sent.

private:
    template <class Event>
    void feed(Event event) {
        action_list out;
        event(out);
        for (std::size_t i = 0; i < out.size(); ++i) {
            const action next = out[i];
            std::visit([&](const auto& item) { perform(item, out); }, next);
        }
    }
    endpoint_model& model(const endpoint_id& id) {
        return **std::find_if(m_endpoints.begin(), m_endpoints.end(),
                              [&](const auto* e) { return e->entry().id == id; });
    }
    /// Two daemons may choose the same number for a connection.
    connection_id model_id(connection_id id) const {
        return id + 1'000'000 * static_cast<connection_id>(context.self.str().front());
    }
    void perform(const control_call& item, action_list& out) {
        const auto result = model(item.endpoint).control(item.request, now);
        subject.on_control({item.id, item.endpoint, result}, now, out);
    }
    void perform(const open_connection& item, action_list& out) {
        endpoint_model& endpoint = model(item.endpoint);
        const auto error = fail_opens ? std::optional{endpoint_error::refused}
                                      : endpoint.connect(model_id(item.connection), item.epoch);
        if (error) {
            subject.on_failed({item.endpoint, item.connection, *error}, now, out);
            return;
        }
        m_open[item.connection] = &endpoint;
        subject.on_opened({item.endpoint, item.connection, endpoint.stamp()}, now, out);
    }
    void perform(const close_connection& item, action_list& /*out*/) {
        model(item.endpoint).disconnect(model_id(item.connection));
        m_open.erase(item.connection);
    }
    void perform(const run_statement& item, action_list& /*out*/) {
        last_used = item.connection;
        const auto result =
            model(item.endpoint)
                .run(model_id(item.connection), item.kind, item.text, item.read, item.term);
        running.push_back({item.endpoint, item.connection, item.sequence, result.status,
                           result.result, result.stamp});
    }
    void perform(const send_peer& item, action_list& /*out*/) {
        const auto& reply = std::get<statement_reply>(item.message);
        const bool first = replies.emplace(reply.id.number, reply).second;
        CHECK(first);
    }
    template <class Other>
    void perform(const Other& /*item*/, action_list& /*out*/) {}

    std::vector<endpoint_model*> m_endpoints;
    std::map<connection_id, endpoint_model*> m_open;
    table m_table;
    std::uint64_t m_last_call = 0;
};

struct one_daemon {
    explicit one_daemon(bool strict = true) : x{"x", {&primary, &replica}, strict} {
        x.set_fleet({"x"});
    }
    endpoint_model primary = make_endpoint(a);
    endpoint_model replica = make_endpoint(b);
    test_daemon x;
};

std::uint32_t most_connections_of_two_owners(bool claim) {
    endpoint_model endpoint = make_endpoint(a);
    test_daemon x{"x", {&endpoint}};
    test_daemon y{"y", {&endpoint}};
    for (test_daemon* each : {&x, &y}) {
        each->context.enabled.claim = claim;
        each->set_table([](table& rows) { rows.endpoints[a].slots = 4; });
        each->set_fleet({each == &x ? "x" : "y"});
        for (int i = 0; i < 4; ++i) {
            each->read();
        }
    }
    return endpoint.most_connections();
}

}  // namespace

// ---- Claims ----

// Guards against exceeding an endpoint's connection limit while two daemons both consider
// themselves its owner.
TEST_CASE("claims keep two owners within the connection limit of an endpoint") {
    CHECK(most_connections_of_two_owners(true) == 4);
}

// Shows that claims are what enforces the limit.
TEST_CASE("without claims two owners exceed the connection limit of an endpoint") {
    CHECK(most_connections_of_two_owners(false) > 4);
}

// Guards against connections that are opened before the claim is granted.
TEST_CASE("calls wait for the claim and no connection is opened without it") {
    endpoint_model endpoint = make_endpoint(a);
    REQUIRE(endpoint.control(claim_request{0, host_id{"old"}}, {}).accepted);
    REQUIRE_FALSE(endpoint.connect(1, 1));
    test_daemon x{"x", {&endpoint}};
    x.context.leaving.insert(host_id{"old"});
    x.set_fleet({"x"});
    const auto waits = x.read();
    CHECK(endpoint.connections() == 1);
    CHECK(x.status().queued == 1);
    REQUIRE(endpoint.control(release_request{1}, {}).accepted);
    x.advance(100_ms);
    x.answer_all();
    CHECK(x.outcome_text(waits) == "done");
    CHECK(x.status().epoch == 3);
}

// Guards against an owner that resumes after a pause and keeps using an endpoint which another
// daemon has claimed meanwhile.
TEST_CASE("an owner whose claim is superseded drops its work and waits to claim again") {
    one_daemon f;
    const auto runs = f.x.write();
    f.x.read();
    const auto waits = f.x.read();
    REQUIRE(f.primary.control(claim_request{1, host_id{"y"}}, {}).accepted);
    f.x.notice_closed();
    CHECK(f.x.outcome_text(runs) == "unknown connection_lost");
    CHECK(f.x.outcome_text(waits) == "not_run not_owner");
    CHECK(f.x.outcome_text(f.x.read()) == "not_run not_owner");
    f.x.advance(1999_ms);
    CHECK_FALSE(f.x.status().claimed);
    f.x.advance(1_ms);
    CHECK(f.x.status().claimed);
}

// Guards against a handover that interrupts requests or never completes.
TEST_CASE("a handover finishes the running work and then releases the claim") {
    one_daemon f;
    const auto ref = f.x.begin();
    const auto runs = f.x.write();
    f.x.set_fleet({"y"});
    CHECK(f.x.outcome_text(f.x.read()) == "not_run not_owner");
    f.x.settle();
    CHECK(f.x.outcome_text(runs) == "done");
    CHECK(f.primary.state({}).owner == host_id{"x"});
    SECTION("when the last transaction ends") {
        const auto commit = f.x.call_in_transaction(ref, request_kind::commit);
        f.x.settle();
        CHECK(f.x.outcome_text(commit) == "done");
    }
    SECTION("at the latest after 10 s") {
        f.x.advance(9999_ms);
        CHECK(f.primary.state({}).owner == host_id{"x"});
        f.x.advance(1_ms);
        CHECK(f.x.outcome_text(f.x.call_in_transaction(ref, request_kind::commit)) ==
              "not_run transaction_lost");
    }
    CHECK(f.primary.state({}).owner.empty());
    CHECK(f.primary.connections() == 0);
}

// Guards against a drain that ends while a write still waits for its confirmation.
TEST_CASE("a drained daemon has answered its calls and holds no claim") {
    one_daemon f;
    const auto runs = f.x.write();
    f.x.drain();
    CHECK_FALSE(f.x.subject.drained());
    f.x.answer_all();
    CHECK_FALSE(f.x.subject.drained());
    f.x.confirm();
    f.x.advance(1_ms);
    CHECK(f.x.outcome_text(runs) == "done");
    CHECK(f.x.subject.drained());
    CHECK(f.primary.state({}).owner.empty());
}

// ---- Writes ----

// Guards against acknowledging a write that no majority has confirmed.
TEST_CASE("a write is done only after its confirmation") {
    one_daemon f;
    const auto number = f.x.write();
    f.x.answer_all();
    CHECK(f.x.replies.empty());
    SECTION("confirmed") {
        f.x.confirm();
        CHECK(f.x.outcome_text(number) == "done");
        CHECK(f.x.replies.at(number).stamp->position == 1);
        return;
    }
    SECTION("not confirmed") {
        f.x.confirmations.confirm = false;
        f.x.confirm();
    }
    SECTION("confirmed, but the view has moved to a higher term") {
        f.x.change_view({2, b}, false);
        f.x.confirm();
    }
    SECTION("no result before the deadline") {
        f.x.advance(5_s);
    }
    CHECK(f.x.outcome_text(number) == "unknown unconfirmed");
}

// Shows that fencing is what prevents the acknowledgement of a write in a superseded term.
TEST_CASE("without fencing a superseded primary would acknowledge a write") {
    one_daemon f{false};
    f.x.context.enabled.fencing = false;
    f.x.write();
    f.x.answer_all();
    f.x.change_view({2, b}, false);
    f.x.confirm();
    CHECK(f.x.checks.broken(promise::superseded_ack) == 1);
}

TEST_CASE("reads are answered at once, confirmed reads after their confirmation") {
    one_daemon f;
    const auto plain = f.x.read();
    const auto confirmed = f.x.call({.text = "get k", .read = true, .confirm = true});
    f.x.answer_all();
    CHECK(f.x.outcome_text(plain) == "done");
    CHECK(f.x.outcome_text(confirmed).empty());
    f.x.confirm();
    CHECK(f.x.outcome_text(confirmed) == "done");
    CHECK(f.x.groups.stamps > 0);
}

// Guards against writes on a replica, and against writes that no majority could confirm.
TEST_CASE("writes run on the primary only and need a majority") {
    one_daemon f;
    const auto wrong = f.x.call({.endpoint = b, .text = "set k 1"});
    CHECK(f.x.outcome_text(wrong) == "not_run not_primary");
    CHECK(f.x.replies.at(wrong).view == group_view{1, a});
    f.x.confirmations.majority = false;
    CHECK(f.x.outcome_text(f.x.write()) == "not_run no_majority");
    const auto read = f.x.read();
    f.x.answer_all();
    CHECK(f.x.outcome_text(read) == "done");
}

// Guards against writes that are lost or run on the old primary during a switchover.
TEST_CASE("held writes wait for the view or their deadline") {
    one_daemon f;
    f.x.change_view({1, a}, true);
    const auto first = f.x.call({.text = "append k 1", .remaining = 900_ms});
    const auto second = f.x.call({.text = "append k 2"});
    CHECK(f.x.status().queued == 2);
    CHECK(f.primary.log().empty());
    SECTION("the view moves") {
        f.x.change_view({2, b}, false);
        CHECK(f.x.outcome_text(first) == "not_run not_primary");
        CHECK(f.x.replies.at(second).view == group_view{2, b});
    }
    SECTION("the hold ends") {
        f.x.change_view({1, a}, false);
        f.x.settle();
        CHECK(f.x.outcome_text(second) == "done");
        REQUIRE(f.primary.log().size() == 2);
        CHECK(f.primary.log()[0].statements[0] == "append k 1");
    }
    SECTION("the deadline passes") {
        f.x.advance(900_ms);
        CHECK(f.x.outcome_text(first) == "not_run no_primary");
        CHECK(f.x.outcome_text(second).empty());
    }
}

// Guards against reporting an unknown outcome for a statement that had no effect.
TEST_CASE("refused and rejected statements are reported as not run") {
    one_daemon f;
    const auto rejected = f.x.write("nonsense");
    f.x.answer_all();
    CHECK(f.x.outcome_text(rejected) == "not_run statement_error");
    REQUIRE(f.primary.control(fence_request{2, "z"}, {}).accepted);
    const auto refused = f.x.write();
    f.x.answer_all();
    CHECK(f.x.outcome_text(refused) == "not_run endpoint_refused");
}

TEST_CASE("calls without table, service or owner are refused with the reason") {
    one_daemon f;
    CHECK(f.x.outcome_text(f.x.call({.service = service_id{"none"}, .read = true})) ==
          "not_run unknown_service");
    CHECK(f.x.outcome_text(f.x.call({.endpoint = endpoint_id{"c"}, .read = true})) ==
          "not_run not_owner");
    f.x.context.config = nullptr;
    CHECK(f.x.outcome_text(f.x.read()) == "not_run no_table");
}

// Guards against starting work on an endpoint that is about to stop.
TEST_CASE("a leaving endpoint takes no reads, and no writes after 3 s") {
    one_daemon f;
    const auto ref = f.x.begin();
    f.x.set_fleet({"x"}, member_state::leaving);
    CHECK(f.x.outcome_text(f.x.read()) == "not_run endpoint_leaving");
    const auto early = f.x.write();
    f.x.settle();
    CHECK(f.x.outcome_text(early) == "done");
    f.x.change_view({1, a}, true);
    const auto held = f.x.write();
    f.x.advance(3001_ms);
    CHECK(f.x.outcome_text(held) == "not_run endpoint_leaving");
    CHECK(f.x.outcome_text(f.x.write()) == "not_run endpoint_leaving");
    const auto commit = f.x.call_in_transaction(ref, request_kind::commit);
    f.x.settle();
    CHECK(f.x.outcome_text(commit) == "done");
}

// ---- Connections ----

// Guards against exceeding the slots and connections of the endpoint's table row.
TEST_CASE("slots and the service's connection share bound what runs") {
    one_daemon f;
    f.x.set_table([](table& rows) {
        rows.endpoints[a].slots = 3;
        rows.services[entries].max_connections = 2;
    });
    f.x.read();
    const auto second = f.x.read();
    CHECK(f.x.running.size() == 1);
    for (int i = 0; i < 4; ++i) {
        f.x.call({.service = fees, .text = "get k", .read = true});
    }
    CHECK(f.x.running.size() == 3);
    CHECK(f.primary.most_connections() <= 4);
    f.x.answer();
    CHECK(f.x.running.size() == 3);
    f.x.answer_all();
    CHECK(f.x.outcome_text(second) == "done");
}

// Guards against calls that hang on a connection whose endpoint no longer answers.
TEST_CASE("a silent connection is closed and its call has an unknown outcome") {
    one_daemon f;
    const auto read = f.x.read();
    const auto write = f.x.write();
    f.x.advance(2_s);
    CHECK(f.x.outcome_text(read) == "unknown connection_silent");
    CHECK(f.x.outcome_text(write).empty());
    f.x.advance(3_s);
    CHECK(f.x.outcome_text(write) == "unknown connection_silent");
    // One error when both calls exceeded the slow-statement threshold, and one for each closed
    // connection.
    CHECK(f.x.groups.errors.size() == 3);
    CHECK(f.x.groups.errors.front() == endpoint_error::timeout);
}

/// Lets a call time out, sends a second call and then delivers the answer to the first one.
test_daemon& deliver_late_answer(one_daemon& f, std::uint64_t& second) {
    f.x.set_table([](table& rows) { rows.endpoints[a].max_connections = 1; });
    f.x.read("get first");
    f.x.advance(2_s);
    second = f.x.read("get second");
    f.x.answer();
    return f.x;
}

// Guards against reads that wait until their deadline for an unreachable endpoint.
TEST_CASE("reads are refused while the endpoint is unreachable, writes wait") {
    one_daemon f;
    f.x.fail_opens = true;
    f.primary.crash();
    f.x.notice_closed();
    CHECK(f.x.outcome_text(f.x.read()) == "not_run endpoint_unavailable");
    const auto write = f.x.write();
    f.x.fail_opens = false;
    f.x.advance(1_s);
    f.x.settle();
    CHECK(f.x.outcome_text(write) == "done");
}

// Guards against delivering the late answer of a timed-out call to the next call.
TEST_CASE("a late answer never reaches another caller") {
    one_daemon f;
    std::uint64_t second = 0;
    test_daemon& x = deliver_late_answer(f, second);
    CHECK(x.outcome_text(second).empty());
    x.answer_all();
    CHECK(x.outcome_text(second) == "done");
    CHECK(x.checks.broken_total() == 0);
}

// Shows that discarding the connection is what prevents the mix-up.
TEST_CASE("without connection discard a caller would get another caller's answer") {
    one_daemon f{false};
    f.x.context.enabled.connection_discard = false;
    std::uint64_t second = 0;
    test_daemon& x = deliver_late_answer(f, second);
    CHECK(x.checks.broken(promise::answer_integrity) == 1);
}

TEST_CASE("a wrong sequence number closes the connection") {
    one_daemon f;
    const auto number = f.x.read();
    f.x.running.front().sequence += 1;
    f.x.answer();
    CHECK(f.x.outcome_text(number) == "unknown answer_mismatch");
}

TEST_CASE("a lost connection makes the outcome unknown and is replaced") {
    one_daemon f;
    const auto number = f.x.write();
    f.x.lose(f.x.running.front().connection);
    CHECK(f.x.outcome_text(number) == "unknown connection_lost");
    CHECK(f.x.groups.errors == std::vector{endpoint_error::reset});
    CHECK(f.x.status().connections >= 1);
}

// ---- Transactions ----

// Guards against running statements of one transaction on different connections.
TEST_CASE("a transaction keeps its connection until its commit is confirmed") {
    one_daemon f;
    const auto ref = f.x.begin();
    CHECK(ref == transaction_ref{host_id{"x"}, 7, 1});
    const auto execute = f.x.call_in_transaction(ref, request_kind::execute, "set k t");
    CHECK(f.x.outcome_text(f.x.call_in_transaction(ref, request_kind::execute, "set k u")) ==
          "not_run overloaded");
    const auto other = f.x.write("set o 1");
    CHECK(f.x.running[0].connection != f.x.running[1].connection);
    f.x.settle();
    CHECK(f.x.outcome_text(execute) == "done");
    CHECK(f.x.outcome_text(other) == "done");
    const auto commit = f.x.call_in_transaction(ref, request_kind::commit);
    f.x.answer_all();
    CHECK(f.x.outcome_text(commit).empty());
    f.x.confirm();
    CHECK(f.x.outcome_text(commit) == "done");
    CHECK(f.primary.log().back().statements == std::vector<std::string>{"set k t"});
    CHECK(f.x.outcome_text(f.x.call_in_transaction(ref, request_kind::commit)) ==
          "not_run transaction_unknown");
}

// Guards against a deadlock when open transactions hold all connections.
TEST_CASE("transactions go on while others wait for a connection") {
    one_daemon f;
    f.x.set_table([](table& rows) { rows.endpoints[a].max_connections = 1; });
    const auto ref = f.x.begin();
    const auto waits = f.x.read();
    const auto commit = f.x.call_in_transaction(ref, request_kind::commit);
    f.x.settle();
    CHECK(f.x.outcome_text(commit) == "done");
    CHECK(f.x.outcome_text(waits) == "done");
}

// Guards against a handle from before a restart, or of another service, that matches an open
// transaction by its number.
TEST_CASE("a handle of another incarnation or service is unknown") {
    one_daemon f;
    const auto ref = f.x.begin();
    CHECK(f.x.outcome_text(f.x.call_in_transaction(
              {ref.owner, 8, ref.number}, request_kind::commit)) == "not_run transaction_unknown");
    const auto foreign =
        f.x.call({.kind = request_kind::commit, .service = fees, .transaction = ref});
    CHECK(f.x.outcome_text(foreign) == "not_run transaction_unknown");
}

// Guards against a transaction that continues on a new connection without its earlier statements.
TEST_CASE("a lost connection ends its transaction") {
    one_daemon f;
    const auto ref = f.x.begin();
    const connection_id bound = f.x.last_used;
    SECTION("between statements") {
        f.x.lose(bound);
    }
    SECTION("with the commit sent") {
        const auto commit = f.x.call_in_transaction(ref, request_kind::commit);
        f.x.lose(bound);
        CHECK(f.x.outcome_text(commit) == "unknown connection_lost");
    }
    SECTION("after 30 s without a statement") {
        f.x.advance(29_s);
        CHECK(f.x.is_open(bound));
        f.x.advance(1_s);
        CHECK_FALSE(f.x.is_open(bound));
    }
    SECTION("when another term begins") {
        f.x.change_view({2, a}, false);
    }
    SECTION("when a statement was refused as transaction_lost") {
        f.x.groups.current = {1, b};
        const auto execute = f.x.call_in_transaction(ref, request_kind::execute, "set k 1");
        CHECK(f.x.outcome_text(execute) == "not_run transaction_lost");
        f.x.groups.current = {1, a};
    }
    CHECK(f.x.outcome_text(f.x.call_in_transaction(ref, request_kind::execute, "set k 1")) ==
          "not_run transaction_lost");
    f.x.advance(60_s);
    CHECK(f.x.outcome_text(f.x.call_in_transaction(ref, request_kind::execute, "set k 1")) ==
          "not_run transaction_unknown");
}

TEST_CASE("a refused commit means that the transaction is lost") {
    one_daemon f;
    const auto ref = f.x.begin();
    REQUIRE(f.primary.control(fence_request{2, "z"}, {}).accepted);
    const auto commit = f.x.call_in_transaction(ref, request_kind::commit);
    f.x.answer_all();
    CHECK(f.x.outcome_text(commit) == "not_run transaction_lost");
}

// ---- Random histories ----

namespace {

/// Applies random calls and faults to one daemon and records the writes.
class history {
public:
    explicit history(std::uint64_t seed) : m_random{seed} {}

    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            step();
        }
        m_daemon.x.confirmations.majority = true;
        m_daemon.x.change_view({1, a}, false);
        for (int i = 0; i < 20; ++i) {
            m_daemon.x.settle();
            m_daemon.x.advance(5_s);
        }
    }
    void check() {
        std::map<std::string, int> applied;
        for (const support::log_record& record : m_daemon.primary.log()) {
            for (const std::string& statement : record.statements) {
                ++applied[statement];
            }
        }
        for (const auto& [number, text] : m_writes) {
            const std::string result = m_daemon.x.outcome_text(number);
            REQUIRE_FALSE(result.empty());
            CHECK(applied[text] >= (result == "done" ? 1 : 0));
            CHECK(applied[text] <= (result.starts_with("not_run") ? 0 : 1));
        }
        CHECK(m_daemon.primary.most_connections() <= 4);
        CHECK(m_daemon.x.checks.broken_total() == 0);
    }

private:
    std::uint64_t pick(std::uint64_t bound) { return m_random() % bound; }

    void step() {
        switch (pick(10)) {
            case 0:
            case 1:
                return write();
            case 2:
                m_daemon.x.call({.text = "get k", .read = true, .confirm = pick(2) == 0});
                return;
            case 3:
                return use_transaction();
            case 4:
            case 5:
                return m_daemon.x.running.empty()
                           ? void()
                           : m_daemon.x.answer(pick(m_daemon.x.running.size()));
            case 6:
                return m_daemon.x.confirm();
            case 7:
                return m_daemon.x.advance(duration::from_ms(static_cast<double>(pick(400))));
            case 8:
                return m_daemon.x.change_view({1, pick(4) == 0   ? endpoint_id{}
                                                  : pick(9) == 0 ? b
                                                                 : a},
                                              pick(3) == 0);
            default:
                return fault();
        }
    }
    void write() {
        const std::string text = "set k" + std::to_string(++m_last) + " v";
        const auto number =
            m_daemon.x.call({.service = pick(2) == 0 ? entries : fees,
                             .text = text,
                             .remaining = duration::from_ms(100.0 + double(pick(2000)))});
        m_writes.emplace(number, text);
    }
    /// Performs the next step of one transaction: begin, execute, commit.
    void use_transaction() {
        if (m_ref.number == 0) {
            const auto begin = m_daemon.x.call({.kind = request_kind::begin});
            m_daemon.x.answer_all();
            m_ref = m_daemon.x.outcome_text(begin) == "done"
                        ? m_daemon.x.replies.at(begin).transaction
                        : m_ref;
        } else if (m_executed == 0) {
            m_text = "set t" + std::to_string(++m_last) + " v";
            m_executed =
                m_daemon.x.call_in_transaction(m_ref, request_kind::execute, m_text.c_str());
        } else {
            m_daemon.x.answer_all();
            const auto commit = m_daemon.x.call_in_transaction(m_ref, request_kind::commit);
            const std::string result = m_daemon.x.outcome_text(m_executed);
            if (result == "done" || result == "not_run transaction_lost") {
                m_writes.emplace(commit, m_text);
            }
            m_ref = {};
            m_executed = 0;
        }
    }
    void fault() {
        switch (pick(12)) {
            case 0:
                return m_daemon.x.lose_one();
            case 1:
                m_daemon.primary.crash();
                return m_daemon.x.notice_closed();
            case 2: {
                const epoch_number epoch = m_daemon.primary.state(m_daemon.x.now).epoch;
                m_daemon.primary.control(claim_request{epoch, host_id{"y"}}, m_daemon.x.now);
                m_daemon.x.notice_closed();
                // Most steps are shorter than the hold-down, so half of the time it is skipped by a
                // long step.
                return m_daemon.x.advance(pick(2) == 0 ? 30_s : 1_ms);
            }
            case 3:
                m_daemon.x.confirmations.majority = pick(4) != 0;
                return;
            default:
                m_daemon.x.confirmations.confirm = pick(4) != 0;
                return;
        }
    }

    one_daemon m_daemon;
    std::mt19937_64 m_random;
    std::uint64_t m_last = 0;
    transaction_ref m_ref;
    std::uint64_t m_executed = 0;
    std::string m_text;
    std::map<std::uint64_t, std::string> m_writes;
};

}  // namespace

// Guards against replies that contradict the endpoint's log, and against lost or duplicate replies.
TEST_CASE("reported outcomes agree with the statements that the endpoint ran") {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        history random{seed};
        random.run(400);
        random.check();
    }
}
