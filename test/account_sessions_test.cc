#include <unistd.h>

#include <cstdio>

#include "http_test_client.h"
#include "proxy/event_log.h"
#include "proxy/peer_messages.h"
#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::test;

namespace {

const std::string agent_key = "kq3v-agents-first";
const std::string second_agent_key = "kq3v-agents-second";
const std::string bank_key = "kq3v-banks";
const std::string unknown_key = "kq3v-unknown";

std::string quoted(const std::string& text) {
    return "\"" + text + "\"";
}

/// Routes `pay` and `view` need a key, `open` does not.
std::string config_with_accounts(int version, const std::string& agent_keys,
                                 int max_connections = 8) {
    std::string text = config_text(version, max_connections);
    const std::string open_route =
        R"({"name":"r3","host":"open","type":"primary","timeoutMs":1500,"goalMs":150,"priority":1,
            "service":"shows","public":true},)";
    const std::size_t routes = text.find("[") + 1;
    text.insert(routes, open_route);
    return text.insert(1, R"("tenants":[{"name":"agents","apiKeys":[)" + agent_keys +
                              R"(]},{"name":"banks","apiKeys":[)" + quoted(bank_key) + "]}],");
}

std::string both_keys() {
    return quoted(agent_key) + "," + quoted(second_agent_key);
}

/// Waits until the host has a configuration that refuses the key.
void wait_until_refused(const fleet& all, std::size_t host, const std::string& key) {
    for (int i = 0; i < 200; ++i) {
        if (caller{all.port(host), "pay", key}.first().starts_with("ERROR AUTHFAIL")) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    FAIL("host " << host + 1 << " did not refuse the key within 200 attempts");
}

struct account_fleet {
    explicit account_fleet(int host_count = 1, int max_connections = 8, const key_trust& trust = {})
        : hosts{host_count},
          connections{max_connections},
          all{hosts, max_connections, 400_ms, {}, trust} {
        all.platform().put("op/config", config_with_accounts(10, both_keys(), connections));
        for (int host = 0; host < hosts; ++host) {
            wait_until_refused(all, static_cast<std::size_t>(host), unknown_key);
        }
        if (hosts > 1) {
            wait_for_stable_routing();
        }
    }
    /// Takes `agent_key` away. Returns when all hosts refuse it.
    void remove_key() {
        all.platform().put("op/config",
                           config_with_accounts(20, quoted(second_agent_key), connections));
        for (int host = 0; host < hosts; ++host) {
            wait_until_refused(all, static_cast<std::size_t>(host), agent_key);
        }
    }
    bool ran(const std::string& name_and_text) {
        const auto runs = all.named_runs();
        return std::find(runs.begin(), runs.end(), name_and_text) != runs.end();
    }

    int hosts;
    int connections;
    fleet all;
};

/// Collects the log of daemons in this process.
class captured_log {
public:
    captured_log() : m_output{::dup(STDOUT_FILENO)} {
        std::fflush(stdout);
        ::dup2(::fileno(m_file), STDOUT_FILENO);
        proxy::start_log("debug");
    }
    ~captured_log() {
        finish();
        std::fclose(m_file);
    }
    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;
    captured_log(captured_log&&) = delete;
    captured_log& operator=(captured_log&&) = delete;

    std::string finish() {
        if (m_output >= 0) {
            proxy::flush_log();
            proxy::set_log_level("off");
            ::dup2(m_output, STDOUT_FILENO);
            ::close(m_output);
            m_output = -1;
        }
        std::string text(static_cast<std::size_t>(std::ftell(m_file)), '\0');
        std::rewind(m_file);
        text.resize(std::fread(text.data(), 1, text.size(), m_file));
        return text;
    }

private:
    std::FILE* m_file = std::tmpfile();
    int m_output;
};

std::string records_sent_to_peers(const fleet& all) {
    const std::string& address = all.peer_address();
    const auto port = std::stoi(address.substr(address.find(':') + 1));
    support::http_test_client peer{static_cast<std::uint16_t>(port)};
    proxy::peer_request request;
    request.host = host_id{"h9"};
    peer.send(support::http_post("/peer/exchange", proxy::encode_peer_request(request)));
    const auto answer = peer.receive();
    return answer ? answer->body : "";
}

}  // namespace

// Guards against statements that run in the name of no account or of another one (rule UNASKED),
// and for callers whose key is unknown (rule ROUTE).
TEST_CASE("statements run in the name of the account that holds the caller's key") {
    account_fleet f{GENERATE(1, 3), GENERATE(8, few_connections)};
    caller agent{f.all.port(), "pay", agent_key};
    caller other_agent{f.all.port(), "view", second_agent_key};
    caller bank{f.all.port(), "pay", bank_key};
    CHECK(agent.query("WRITE a v1").starts_with("DONE"));
    CHECK(bank.query("WRITE b v1").starts_with("DONE"));
    CHECK(other_agent.query("READ c").find("DONE") != std::string::npos);
    CHECK(agent.query("BEGIN") == "DONE -|READY T -|");
    CHECK(agent.query("WRITE d v1").starts_with("DONE"));
    CHECK(agent.query("COMMIT").starts_with("DONE"));
    caller anyone{f.all.port(), "open", "u1"};
    CHECK(anyone.query("READ e").find("DONE") != std::string::npos);
    CHECK(f.ran("agents WRITE a v1"));
    CHECK(f.ran("banks WRITE b v1"));
    CHECK(f.ran("agents WRITE d v1"));
    CHECK(f.ran("jasminelead READ e"));
    CHECK(caller{f.all.port(), "pay", "u1"}.first().starts_with("ERROR AUTHFAIL"));
    CHECK(caller{f.all.port(), "pay", ""}.first().starts_with("ERROR AUTHFAIL"));
    CHECK(caller{f.all.port(), "none", agent_key}.first().starts_with("ERROR NODB"));
}

// Guards against a removed key that goes on serving (rules CONFIG and ROUTE).
TEST_CASE("removing a key ends its sessions, in a transaction or not, and no others") {
    account_fleet f;
    caller idle{f.all.port(), "pay", agent_key};
    caller resting{f.all.port(), "pay", agent_key};
    caller kept{f.all.port(), "pay", second_agent_key};
    caller bank{f.all.port(), "pay", bank_key};
    REQUIRE(resting.query("BEGIN") == "DONE -|READY T -|");
    REQUIRE(resting.query("WRITE unfinished v1").starts_with("DONE"));
    f.remove_key();
    CHECK(idle.is_closed_unasked());
    CHECK(resting.is_closed_unasked());
    CHECK(kept.query("WRITE k v1").starts_with("DONE"));
    CHECK(bank.query("READ unfinished") == "ROW none|DONE signed-by-i-a|READY I -|");
}

// Guards against statements that were queued under a key and run after its removal.
TEST_CASE("a statement that waits in a queue is refused when its key is removed") {
    const bool is_relayed = GENERATE(false, true);
    account_fleet f{is_relayed ? 3 : 1, is_relayed ? few_connections : 8};
    CAPTURE(is_relayed);
    caller agent{f.all.port(), "pay", agent_key};
    // From now on the other account may close the connections of the start.
    std::this_thread::sleep_for(std::chrono::milliseconds{2200});
    // Its statements occupy the slots of the primary, each on a connection of its own, until all
    // hosts have heard of the removal.
    f.all.endpoint(0).delay_all("WRITE", std::chrono::milliseconds{1200});
    std::list<std::thread> occupying;
    for (int i = 0; i < 3; ++i) {
        occupying.emplace_back([&f, i] {
            caller bank{f.all.port(), "pay", bank_key};
            bank.query("WRITE busy" + std::to_string(i) + " v1");
        });
    }
    for (int i = 0; i < 100 && f.all.endpoint(0).delayed() < 3; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    const int occupied_slots = f.all.endpoint(0).delayed();
    std::string answer;
    std::thread waiting{[&] { answer = agent.query("WRITE late v1"); }};
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    f.remove_key();
    waiting.join();
    for (std::thread& thread : occupying) {
        thread.join();
    }
    CHECK(occupied_slots == 3);
    CHECK(answer.starts_with("ERROR AUTHFAIL"));
    CHECK_FALSE(f.ran("agents WRITE late v1"));
}

// Guards against keys in any output: logs, metrics, records for other hosts, names at endpoints.
TEST_CASE("no output contains a key") {
    captured_log log;
    std::string output;
    {
        account_fleet f{2, few_connections};
        for (std::size_t host = 0; host < 2; ++host) {
            caller agent{f.all.port(host), "pay", agent_key};
            agent.query("WRITE a v1");
            agent.query("nonsense");
            const caller without_route{f.all.port(host), "none", agent_key};
            CHECK(without_route.first().starts_with("ERROR NODB"));
            const caller without_account{f.all.port(host), "pay", unknown_key};
            CHECK(without_account.first().starts_with("ERROR AUTHFAIL"));
        }
        const std::string records = records_sent_to_peers(f.all);
        REQUIRE(records.find("op/config") != std::string::npos);
        output += records + f.all.daemon().counters().text();
        f.remove_key();
        for (const std::string& startup : f.all.startups()) {
            output += startup;
        }
        for (const std::string& line : f.all.named_runs()) {
            output += line;
        }
    }
    const std::string lines = log.finish();
    REQUIRE(lines.find("configuration_applied") != std::string::npos);
    CHECK((output + lines).find("kq3v") == std::string::npos);
}

// Guards against a host that hears of no configuration and goes on serving removed keys.
TEST_CASE("while keys fail closed, a host without the store serves callers without keys only") {
    account_fleet f{1, 8, key_trust{true, 1500_ms}};
    caller agent{f.all.port(), "view", agent_key};
    REQUIRE(agent.query("READ a").find("DONE") != std::string::npos);
    f.all.platform().set_available(false);
    std::this_thread::sleep_for(std::chrono::milliseconds{1800});
    CHECK(agent.query("READ a").starts_with("ERROR BUSY"));
    f.all.platform().set_available(true);
    for (int i = 0; i < 200; ++i) {
        if (agent.query("READ a").find("DONE") != std::string::npos) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    FAIL("the host did not serve the key again within 200 attempts");
}

// Guards against connections that are reused for another account, which an endpoint cannot see.
TEST_CASE("a host at its limit closes another account's connection instead of sharing it") {
    account_fleet f{1, 2};
    for (int i = 0; i < 6; ++i) {
        const bool is_agent = i % 2 == 0;
        caller next{f.all.port(), "pay", is_agent ? agent_key : bank_key};
        const std::string item = "item" + std::to_string(i);
        CHECK(next.query("WRITE " + item + " v1").starts_with("DONE"));
        CHECK(f.ran((is_agent ? "agents WRITE " : "banks WRITE ") + item + " v1"));
    }
}
