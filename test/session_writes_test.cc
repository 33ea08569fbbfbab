#include "session_fleet.h"

using namespace jasminelead;
using namespace jasminelead::test;

namespace {

constexpr int hosts = 3;

std::string config_with_award(int version, const std::string& group) {
    const std::string limit = std::to_string(few_connections);
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
      {"name":"r1","host":"pay","type":"primary","timeoutMs":1500,"goalMs":150,"priority":1,
       "service":"shows"},
      {"name":"r2","host":"award","type":"read_your_writes","timeoutMs":1500,"goalMs":250,
       "priority":1,"service":")" +
           group + R"(","maxStaleMs":9000}],
      "services":[{"name":"shows","maxConns":)" +
           limit + R"(},{"name":"archive","maxConns":)" + limit +
           R"(}],"limits":{"txIdleMs":3000}})";
}

/// A fleet with a second group of one endpoint, and a route that moves between the groups.
class fleet_of_two_groups {
public:
    fleet_of_two_groups() {
        m_archive->primary = "i-x";
        all.list(m_archive_primary, "primary", "ready");
        all.platform().put("op/config", config_with_award(++m_version, "shows"));
    }
    /// Opens a session on the route once the host knows it.
    std::unique_ptr<caller> open_session(std::size_t host) {
        for (int i = 0; i < 200; ++i) {
            auto session = std::make_unique<caller>(all.port(host), "award");
            if (session->first() == "READY I -|") {
                return session;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        FAIL("host " << host + 1 << " did not know the route within 200 attempts");
        return nullptr;
    }
    /// Returns when the session's next statement runs at an endpoint of the group.
    void move_route(caller& session, const std::string& group, const std::string& statement) {
        all.platform().put("op/config", config_with_award(++m_version, group));
        const std::string signature = group == "archive" ? "signed-by-i-x" : "signed-by-i-";
        for (int i = 0; i < 200; ++i) {
            const std::string answer = session.query(statement);
            const bool at_archive = answer.find("signed-by-i-x") != std::string::npos;
            if (answer.find(signature) != std::string::npos && at_archive == (group == "archive")) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        FAIL("the route did not move to " << group << " within 200 attempts");
    }

    fleet all{hosts, few_connections};

private:
    std::shared_ptr<session_group_state> m_archive = std::make_shared<session_group_state>();
    session_endpoint m_archive_primary{m_archive, "archive", "i-x"};
    int m_version = 3;
};

/// True if the last run of the read could only see a log that contains the position.
bool last_run_sees(fleet& all, const std::string& read, std::uint64_t position) {
    const auto log = all.log();
    const auto run = std::find_if(log.rbegin(), log.rend(),
                                  [&read](const auto& line) { return line.ends_with(read); });
    REQUIRE(run != log.rend());
    const std::size_t after = run->find(" AFTER ");
    if (after == std::string::npos) {
        return run->starts_with(all.primary());
    }
    return std::stoull(run->substr(run->find('.', after) + 1)) >= position;
}

void write(caller& session, const std::string& item, bool in_transaction) {
    if (in_transaction) {
        REQUIRE(session.query("BEGIN") == "DONE -|READY T -|");
    }
    REQUIRE(session.query("WRITE " + item + " v1").starts_with("DONE signed-by-i-a"));
    if (in_transaction) {
        REQUIRE(session.query("COMMIT") == "DONE signed-by-i-a|READY I -|");
    }
}

}  // namespace

// Guards against a session that does not read its own write (rule STALE): a write to another group
// made its host forget the earlier one. One host runs the statements itself, the others relay them.
TEST_CASE("a session reads its own write after its route moved to another group and back") {
    fleet_of_two_groups f;
    wait_for_stable_routing();
    const bool in_transaction = GENERATE(false, true);
    caller first{f.all.port(), "pay"};
    REQUIRE(first.query("WRITE seed v1").starts_with("DONE"));
    // Marks that are at least 20 ms apart are kept, so that the bound of reads stays at the seed.
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    for (std::size_t host = 0; host < hosts; ++host) {
        CAPTURE(host, in_transaction);
        const std::string item = "placing" + std::to_string(host);
        const auto judge = f.open_session(host);
        f.move_route(*judge, "shows", "READ seed");
        write(*judge, item, in_transaction);
        const std::uint64_t own = f.all.position();
        f.move_route(*judge, "archive", "WRITE other v1");
        f.move_route(*judge, "shows", "READ " + item);
        CHECK(last_run_sees(f.all, "READ " + item, own));
    }
}
