#include "operator_routes.h"

#include <algorithm>
#include <array>
#include <boost/url/params_encoded_view.hpp>
#include <boost/url/parse_query.hpp>
#include <utility>

#include "caller_json.h"

namespace jasminelead::daemon {
namespace {

constexpr std::array<std::string_view, 5> get_paths = {"/healthz", "/readyz", "/metrics",
                                                       "/v1/status", "/v1/explain"};
constexpr std::array<std::string_view, 2> post_paths = {"/v1/drain", "/v1/switchover"};

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size>& paths, std::string_view path) {
    return std::find(paths.begin(), paths.end(), path) != paths.end();
}

route_response fault(int status, std::string detail) {
    const request_fault refused{reason::bad_request, std::move(detail)};
    return {status, render_fault(refused, {}).body};
}

}  // namespace

operator_routes::operator_routes(synchronized_kernel& kernel, metrics& counters,
                                 std::function<void()> start_drain)
    : m_kernel{kernel}, m_metrics{counters}, m_start_drain{std::move(start_drain)} {}

route_response operator_routes::serve(std::string_view method, std::string_view target,
                                      std::string_view body) const {
    const std::size_t mark = target.find('?');
    const std::string_view path = target.substr(0, mark);
    const std::string_view query =
        mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    if (method == "GET" && contains(get_paths, path)) {
        return get(path, query);
    }
    if (method == "POST" && contains(post_paths, path)) {
        return post(path, body);
    }
    const bool known = contains(get_paths, path) || contains(post_paths, path) ||
                       kind_of_path(path).has_value() || path == "/v1/peer";
    return known ? fault(405, "the method is not allowed for this path")
                 : fault(404, "no such path");
}

route_response operator_routes::get(std::string_view path, std::string_view query) const {
    if (path == "/healthz") {
        return {200, R"({"healthy":true})"};
    }
    if (path == "/readyz") {
        return ready();
    }
    if (path == "/metrics") {
        return {200, m_metrics.text(), text_type};
    }
    if (path == "/v1/status") {
        return {200, m_kernel.status_json()};
    }
    return explain(query);
}

route_response operator_routes::post(std::string_view path, std::string_view body) const {
    if (path == "/v1/drain") {
        m_start_drain();
        return {202, R"({"accepted":true})"};
    }
    return switch_over(body);
}

route_response operator_routes::ready() const {
    if (m_kernel.ready() && !m_draining) {
        return {200, R"({"ready":true})"};
    }
    return {503, R"({"ready":false})"};
}

route_response operator_routes::explain(std::string_view query) const {
    const auto parsed = boost::urls::parse_query(query);
    if (!parsed || parsed->size() != 1) {
        return fault(400, "the query must be session=<token>");
    }
    const boost::urls::param_pct_view only = *parsed->begin();
    if (only.key != "session") {
        return fault(400, "the query must be session=<token>");
    }
    return {200, m_kernel.explain_json(only.value.decode())};
}

route_response operator_routes::switch_over(std::string_view body) const {
    auto parsed = parse_switchover(body);
    if (const auto* const refused = std::get_if<request_fault>(&parsed)) {
        const rendered_reply rendered = render_fault(*refused, {});
        return {rendered.status, rendered.body};
    }
    m_kernel.submit(std::get<switchover_requested>(std::move(parsed)));
    return {202, R"({"accepted":true})"};
}

}  // namespace jasminelead::daemon
