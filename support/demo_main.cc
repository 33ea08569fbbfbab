#include <algorithm>
#include <boost/json/object.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <string>
#include <vector>

#include "fleet.h"
#include "http_server.h"

/// Demonstration: one session writes and reads through all daemons while the table is edited, a
/// primary is killed, one daemon is drained and another one is killed.
namespace {

namespace json = boost::json;
using namespace jasminelead::support;
using steady_clock = std::chrono::steady_clock;

constexpr std::int64_t request_timeout_ms = 8000;
constexpr int writes_per_phase = 100;

struct figures {
    int done = 0;
    int not_run = 0;
    int unknown = 0;
    int violations = 0;
    double slowest_ms = 0;
};

/// One caller's session, which sends its requests to the remaining daemons in turn.
class session {
public:
    session(const std::vector<std::string>& daemons, std::string group)
        : m_daemons{daemons}, m_group{std::move(group)} {}

    void remove_daemon(const std::string& daemon) {
        m_daemons.erase(std::remove(m_daemons.begin(), m_daemons.end(), daemon), m_daemons.end());
    }

    void write_and_read_back() {
        const std::string marker = "entry:" + std::to_string(m_written++) + ";";
        const std::string outcome = request("append show " + marker, false);
        if (outcome == "done") {
            m_acknowledged.push_back(marker);
            ++m_figures.done;
        } else if (outcome == "not_run") {
            m_refused.push_back(marker);
            ++m_figures.not_run;
        } else {
            ++m_figures.unknown;
        }
        read_back();
    }

    figures take_figures() { return std::exchange(m_figures, figures{}); }

private:
    void read_back() {
        if (request("get show", true) != "done") {
            return;
        }
        for (const std::string& marker : m_acknowledged) {
            const std::size_t first = m_value.find(marker);
            const bool once =
                first != std::string::npos && m_value.find(marker, first + 1) == std::string::npos;
            m_figures.violations += once ? 0 : 1;
        }
        for (const std::string& marker : m_refused) {
            m_figures.violations += m_value.find(marker) == std::string::npos ? 0 : 1;
        }
    }

    std::string request(const std::string& text, bool read) {
        const std::string& daemon = m_daemons[m_next++ % m_daemons.size()];
        json::object body{{"id", m_next}, {"service", "awards"}, {"group", m_group},
                          {"text", text}, {"read", read},        {"timeout_ms", 5000}};
        if (!m_token.empty()) {
            body["session"] = m_token;
        }
        const auto sent = steady_clock::now();
        const auto reply = post_json(daemon, "/v1/statement", body, request_timeout_ms);
        const std::chrono::duration<double, std::milli> took = steady_clock::now() - sent;
        m_figures.slowest_ms = std::max(m_figures.slowest_ms, took.count());
        return reply ? apply_reply(*reply) : "unknown";
    }

    std::string apply_reply(const http_reply& reply) {
        const json::object* const body = reply.body.if_object();
        if (body == nullptr || !body->contains("outcome")) {
            return "unknown";
        }
        if (const json::value* const token = body->if_contains("session")) {
            m_token = token->as_string();
        }
        m_value.clear();
        if (const json::value* const result = body->if_contains("result")) {
            const json::object* const members = result->if_object();
            const json::value* const value =
                members == nullptr ? nullptr : members->if_contains("value");
            m_value = value != nullptr && value->is_string() ? std::string{value->get_string()}
                                                             : std::string{};
        }
        return std::string{body->at("outcome").as_string()};
    }

    std::vector<std::string> m_daemons;
    std::string m_group;
    std::string m_token;
    std::string m_value;
    std::uint64_t m_next = 0;
    int m_written = 0;
    std::vector<std::string> m_acknowledged;
    std::vector<std::string> m_refused;
    figures m_figures;
};

int run_phase(session& caller, const char* name) {
    for (int i = 0; i < writes_per_phase; ++i) {
        caller.write_and_read_back();
    }
    const figures result = caller.take_figures();
    std::printf("%-28s done %4d  not run %3d  unknown %3d  slowest %7.1f ms  broken %d\n", name,
                result.done, result.not_run, result.unknown, result.slowest_ms, result.violations);
    std::fflush(stdout);
    return result.violations;
}

int check(bool holds, const char* what) {
    std::printf("%-28s %s\n", what, holds ? "yes" : "NO");
    return holds ? 0 : 1;
}

int run(const std::string& programs) {
    fleet installation{programs, programs + "/demo"};
    installation.start();
    std::printf("platform, 9 endpoints and 6 daemons are up\n");
    session caller{installation.daemons(), "shows-1"};
    int violations = run_phase(caller, "all daemons");

    const int edited = installation.ctl(
        {"table", "set", "endpoint/shows-1-b.read_weight", "50", "--operator", "demo"});
    violations += check(edited == 0, "table edit accepted");
    violations += run_phase(caller, "after a table edit");

    installation.endpoint("shows-1-a").signal(SIGKILL);
    violations += run_phase(caller, "primary killed");

    installation.daemon(1).signal(SIGTERM);
    violations += run_phase(caller, "daemon 2 draining");
    violations += check(installation.daemon(1).wait() == 0, "drained daemon exited with 0");
    caller.remove_daemon(installation.daemons()[1]);

    installation.daemon(2).signal(SIGKILL);
    violations += run_phase(caller, "daemon 3 killed");
    caller.remove_daemon(installation.daemons()[2]);
    violations += run_phase(caller, "four daemons left");

    std::printf(violations == 0 ? "every promise held\n" : "broken promises: %d\n", violations);
    return violations == 0 ? 0 : 1;
}

}  // namespace

int main(int /*argc*/, char** argv) {
    try {
        return run(std::filesystem::absolute(argv[0]).parent_path().string());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "jasminelead-demo: %s\n", error.what());
        return 2;
    }
}
