#include "daemon_commands.h"

#include <boost/json.hpp>
#include <ostream>

#include "printing.h"

namespace jasminelead::ctl {
namespace {

namespace json = boost::json;

constexpr unsigned first_error_status = 300;

std::optional<http_response> call(const arguments& values, http_client& client) {
    const std::string& command = values.positional[0];
    if (command == "status") {
        return client.get("/v1/status");
    }
    if (command == "explain") {
        return client.get("/v1/explain?session=" + percent_encoded(values.session));
    }
    if (command == "drain") {
        return client.post("/v1/drain", "{}");
    }
    json::object body{{"group", values.group}};
    if (!values.to.empty()) {
        body["successor"] = values.to;
    }
    return client.post("/v1/switchover", json::serialize(body));
}

void print(const arguments& values, const std::string& body, std::ostream& out) {
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (values.json || error) {
        out << body << (body.empty() || body.back() == '\n' ? "" : "\n");
    } else {
        out << to_tables(parsed);
    }
}

}  // namespace

exit_code run_daemon_command(const arguments& values, http_client client, std::ostream& out,
                             std::ostream& errors) {
    const std::string& command = values.positional[0];
    const bool incomplete = (command == "explain" && values.session.empty()) ||
                            (command == "switchover" && values.group.empty());
    if (incomplete || values.positional.size() > 1) {
        errors << "jasminelead-ctl: usage: status, explain --session S, drain or "
                  "switchover --group G [--to E]\n";
        return usage_error;
    }
    const auto response = call(values, client);
    if (!response) {
        errors << "jasminelead-ctl: the daemon does not answer: " << client.last_error() << "\n";
        return unreachable;
    }
    const bool refused = response->status >= first_error_status;
    if (refused) {
        errors << "jasminelead-ctl: the daemon answered with HTTP status " << response->status
               << "\n";
    }
    print(values, response->body, refused ? errors : out);
    return refused ? failure : success;
}

}  // namespace jasminelead::ctl
