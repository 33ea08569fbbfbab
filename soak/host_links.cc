#include "soak/host_links.h"

#include <algorithm>
#include <numeric>

namespace jasminelead::soak {

std::string instance_target(std::uint16_t port) {
    return "instance:" + std::to_string(port);
}

std::uint16_t host_links::add(const link& name, std::uint16_t target_port) {
    const tcp::endpoint target{boost::asio::ip::address_v4::loopback(), target_port};
    const std::lock_guard lock{m_lock};
    link_state& state = m_links[name];
    // Each link has a proxy of its own, so that the caller needs no search.
    state.proxy = std::make_unique<link_proxy>(
        m_threads, target,
        [host = name.first](const tcp::endpoint&, const tcp::endpoint&) { return host; });
    return state.proxy->endpoint().port();
}

void host_links::disturb(const link& name, const link_condition& condition) {
    const std::lock_guard lock{m_lock};
    link_state& state = m_links.at(name);
    state.conditions.push_back(condition);
    apply(state);
}

void host_links::mend(const link& name, const link_condition& condition) {
    const std::lock_guard lock{m_lock};
    link_state& state = m_links.at(name);
    const auto found = std::find(state.conditions.begin(), state.conditions.end(), condition);
    if (found != state.conditions.end()) {
        state.conditions.erase(found);
    }
    apply(state);
}

void host_links::apply(link_state& state) {
    state.proxy->set_condition(std::accumulate(state.conditions.begin(), state.conditions.end(),
                                               link_condition{}, combine));
}

void host_links::reset(const link& name) {
    const std::lock_guard lock{m_lock};
    m_links.at(name).proxy->reset();
}

void host_links::silence_open_connections(const link& name) {
    const std::lock_guard lock{m_lock};
    m_links.at(name).proxy->silence_open_connections();
}

}  // namespace jasminelead::soak
