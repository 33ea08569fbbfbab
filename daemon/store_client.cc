#include "store_client.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "json_members.h"

namespace jasminelead::daemon {
namespace {

namespace json = boost::json;

constexpr std::size_t max_idle_connections = 4;
constexpr std::chrono::milliseconds call_timeout{1000};
// The store answers a watch within 30 s; the margin of 5 s covers the network.
constexpr std::chrono::milliseconds watch_timeout{35'000};
constexpr std::uint64_t watch_wait_ms = 30'000;
constexpr double host_poll_ms = 5'000;
// Limits the load of large fleets on the store: 480 daemons make 48 calls per second.
constexpr double large_fleet_host_poll_ms = 10'000;
constexpr std::size_t max_small_fleet_hosts = 48;
// A daemon cannot work without a host list, so it retries soon after a failed poll.
constexpr double empty_host_list_poll_ms = 500;
constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_value_bytes = std::size_t{2} * 1024 * 1024;

struct rendered_call {
    std::string_view target;
    json::object body;
};

rendered_call render(const store_request& request) {
    struct visitor {
        rendered_call operator()(const store_get& r) const { return {"/kv/get", {{"key", r.key}}}; }
        rendered_call operator()(const store_put& r) const {
            return {"/kv/put", {{"key", r.key}, {"value", r.value}}};
        }
        rendered_call operator()(const store_cas& r) const {
            return {"/kv/cas", {{"key", r.key}, {"value", r.value}, {"expected", r.expected}}};
        }
        rendered_call operator()(const store_watch& r) const {
            return {"/kv/watch",
                    {{"key", r.key}, {"version", r.version}, {"wait_ms", watch_wait_ms}}};
        }
    };
    return std::visit(visitor{}, request);
}

store_result parse_result(const store_request& request, const http_response& response) {
    constexpr unsigned no_content = 204;
    constexpr unsigned not_found = 404;
    constexpr unsigned conflict = 409;
    store_result result;
    if (response.status == not_found) {
        result.status = store_status::missing;
        return result;
    }
    const auto* const watch = std::get_if<store_watch>(&request);
    if (response.status == no_content && watch != nullptr) {
        return {store_status::ok, watch->version, {}};
    }
    boost::system::error_code error;
    const json::value value = json::parse(response.body, error);
    json_members members{value};
    result.version = members.number("version", 0, UINT64_MAX);
    if (members.has("value")) {
        result.value = members.text("value", max_value_bytes);
    }
    const bool understood = response.status == 200 || response.status == conflict;
    if (error || !members.ok() || !understood) {
        return {};
    }
    result.status = response.status == 200 ? store_status::ok : store_status::conflict;
    return result;
}

member_state read_state(json_members& members) {
    const std::string state = members.text("state", max_name_length);
    if (state != "live" && state != "leaving") {
        members.fail("member state must be live or leaving");
    }
    return state == "leaving" ? member_state::leaving : member_state::live;
}

std::string read_address(json_members& members) {
    std::string address = members.text("address", max_name_length);
    if (!parse_address(address)) {
        members.fail("member address must be an IP address and port");
    }
    return address;
}

host_entry read_host(json_members& members) {
    host_entry host;
    host.id = host_id{members.text("id", max_name_length)};
    host.data_centre = data_centre_id{members.text("data_centre", max_name_length)};
    host.address = read_address(members);
    host.state = read_state(members);
    return host;
}

endpoint_entry read_endpoint(json_members& members) {
    endpoint_entry endpoint;
    endpoint.id = endpoint_id{members.text("id", max_name_length)};
    endpoint.group = group_id{members.text("group", max_name_length)};
    endpoint.data_centre = data_centre_id{members.text("data_centre", max_name_length)};
    endpoint.address = read_address(members);
    endpoint.state = read_state(members);
    return endpoint;
}

template <class Entry>
bool read_list(const json::value* list, std::vector<Entry>& entries, Entry (*read)(json_members&)) {
    if (list == nullptr || !list->is_array()) {
        return false;
    }
    for (const json::value& item : list->get_array()) {
        json_members members{item};
        entries.push_back(read(members));
        if (!members.ok()) {
            return false;
        }
    }
    return true;
}

}  // namespace

std::optional<host_list> parse_host_list(std::string_view body) {
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    json_members members{value};
    host_list list;
    const bool complete = read_list(members.required("hosts"), list.hosts, read_host) &&
                          read_list(members.required("endpoints"), list.endpoints, read_endpoint);
    return complete && !error ? std::optional{std::move(list)} : std::nullopt;
}

store_client::store_client(worker& io_worker, std::string address, address_book& addresses,
                           event_sink events)
    : m_worker{io_worker},
      m_address{std::move(address)},
      m_addresses{addresses},
      m_events{std::move(events)},
      m_pool{io_worker.io(), max_idle_connections},
      m_timer{io_worker.io()},
      m_random{std::random_device{}()} {}

void store_client::start() {
    m_worker.spawn([this] { poll_hosts(); });
}

void store_client::call(store_call request) {
    m_worker.spawn([this, request = std::move(request)] {
        emit(m_events, store_answered{request.id, perform(request.request)});
    });
}

store_result store_client::perform(const store_request& request) {
    const rendered_call rendered = render(request);
    const std::string body = json::serialize(rendered.body);
    const bool is_watch = std::holds_alternative<store_watch>(request);
    http_call call;
    call.address = m_address;
    call.target = rendered.target;
    call.body = body;
    call.deadline = std::chrono::steady_clock::now() + (is_watch ? watch_timeout : call_timeout);
    call.repeatable = !std::holds_alternative<store_cas>(request);
    const auto answer = m_pool.call(call);
    const auto* const response = std::get_if<http_response>(&answer);
    return response == nullptr ? store_result{} : parse_result(request, *response);
}

void store_client::poll_hosts() {
    while (!m_stopped) {
        const bool polled = poll_once();
        if (!m_stopped) {
            wait_before_next_poll(polled);
        }
    }
}

bool store_client::poll_once() {
    http_call call;
    call.address = m_address;
    call.method = "GET";
    call.target = "/hosts";
    call.deadline = std::chrono::steady_clock::now() + call_timeout;
    call.repeatable = true;
    const auto answer = m_pool.call(call);
    const auto* const response = std::get_if<http_response>(&answer);
    if (response == nullptr || response->status != 200) {
        return false;
    }
    auto list = parse_host_list(response->body);
    if (!list) {
        return false;
    }
    m_addresses.update(*list);
    emit(m_events, std::move(*list));
    return true;
}

void store_client::wait_before_next_poll(bool polled) {
    const std::size_t hosts = m_addresses.host_count();
    double interval_ms = hosts > max_small_fleet_hosts ? large_fleet_host_poll_ms : host_poll_ms;
    if (!polled && hosts == 0) {
        interval_ms = empty_host_list_poll_ms;
    }
    // Jitter of 20% keeps the daemons from polling in lockstep.
    const double factor = std::uniform_real_distribution<double>{0.8, 1.2}(m_random);
    m_timer.expires_after(std::chrono::milliseconds{static_cast<int>(interval_ms * factor)});
    m_timer.async_wait([this](const boost::system::error_code&) { m_wake.notify(); });
    m_wake.wait();
}

void store_client::stop() {
    m_stopped = true;
    m_pool.close();
    m_timer.cancel();
}

}  // namespace jasminelead::daemon
