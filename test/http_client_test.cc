#include "ctl/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

#include "ctl/daemon_commands.h"
#include "ctl/store_client.h"

using namespace jasminelead;
using namespace jasminelead::ctl;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

/// Accepts one connection and answers its first header with fixed bytes, or never when empty.
class single_response_server {
public:
    explicit single_response_server(std::string bytes)
        : m_acceptor{m_context, {asio::ip::address_v4::loopback(), 0}},
          m_port{m_acceptor.local_endpoint().port()},
          m_thread{[this, text = std::move(bytes)] { serve(text); }} {}
    ~single_response_server() { m_thread.join(); }
    single_response_server(const single_response_server&) = delete;
    single_response_server& operator=(const single_response_server&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] http_client client() const { return http_client{address()}; }

private:
    void serve(const std::string& text) {
        tcp::socket socket = m_acceptor.accept();
        asio::streambuf buffer;
        boost::system::error_code error;
        asio::read_until(socket, buffer, "\r\n\r\n", error);
        if (text.empty()) {
            // Returns when the client closes the connection after its timeout.
            asio::read_until(socket, buffer, "never", error);
            return;
        }
        asio::write(socket, asio::buffer(text), error);
    }
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::thread m_thread;
};

std::string answer(const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nConnection: close\r\n\r\n" + body;
}

}  // namespace

TEST_CASE("a call returns status and body") {
    single_response_server server{answer("404 Not Found", "gone")};
    const auto response = server.client().get("/x");
    REQUIRE(response);
    CHECK(response->status == 404);
    CHECK(response->body == "gone");
}

// Guards against jasminelead-ctl blocking forever on a store or daemon that does not answer.
TEST_CASE("a call times out when the server does not answer") {
    single_response_server server{""};
    http_client client{server.address(), std::chrono::milliseconds{50}};
    CHECK_FALSE(client.get("/x"));
    CHECK_FALSE(client.last_error().empty());
}

TEST_CASE("invalid addresses and truncated answers are errors") {
    CHECK_FALSE(http_client{"localhost:1"}.get("/"));
    CHECK_FALSE(http_client{"127.0.0.1"}.get("/"));
    CHECK_FALSE(http_client{"127.0.0.1:99999"}.get("/"));
    single_response_server server{answer("200 OK", "whole").substr(0, 60)};
    CHECK_FALSE(server.client().get("/"));
}

TEST_CASE("each answer of the store has its status") {
    const store_request cas = store_cas{"k", "v", 3};
    const auto ask = [&](const std::string& status, const std::string& body) {
        single_response_server server{answer(status, body)};
        return store_client{server.client()}.perform(cas);
    };
    CHECK(ask("200 OK", R"({"version":4})").version == 4);
    const store_result conflicted = ask("409 Conflict", R"({"version":9,"value":"w"})");
    CHECK(conflicted.status == store_status::conflict);
    CHECK(conflicted.value == "w");
    CHECK(ask("404 Not Found", "").status == store_status::missing);
    CHECK(ask("500 Error", "").status == store_status::unavailable);
    CHECK(ask("200 OK", "[]").status == store_status::unavailable);
    CHECK(store_client{http_client{"127.0.0.1:1"}}.perform(cas).status ==
          store_status::unavailable);
}

TEST_CASE("a list is parsed, and an incomplete entry is an error") {
    single_response_server good{
        answer("200 OK", R"({"entries":[{"key":"k","version":1,"value":"v"}]})")};
    CHECK(store_client{good.client()}.list("k").value().at(0).value == "v");
    single_response_server bad{answer("200 OK", R"({"entries":[{"key":"k"}]})")};
    CHECK_FALSE(store_client{bad.client()}.list("k"));
}

TEST_CASE("commands to a daemon end with the exit code of the answer") {
    std::ostringstream out;
    std::ostringstream errors;
    arguments values;
    values.positional = {"status"};
    single_response_server good{answer("200 OK", R"({"host":"h1"})")};
    CHECK(run_daemon_command(values, good.client(), out, errors) == success);
    CHECK(out.str() == "host  h1\n");
    single_response_server bad{answer("503 Busy", "")};
    CHECK(run_daemon_command(values, bad.client(), out, errors) == failure);
    CHECK(run_daemon_command(values, http_client{"127.0.0.1:1"}, out, errors) == unreachable);
    values.positional = {"explain"};
    CHECK(run_daemon_command(values, http_client{"127.0.0.1:1"}, out, errors) == usage_error);
}

TEST_CASE("session tokens are encoded in the query") {
    CHECK(percent_encoded("aZ09-._~&= %\xff") == "aZ09-._~%26%3D%20%25%FF");
}
