#include "soak/service.h"

#include <thread>

#include "soak/clock.h"
#include "soak/instance.h"

namespace jasminelead::soak {
namespace {

constexpr double tick_ms = 20;

}  // namespace

service::service(std::string service_name, store& keys)
    : name{std::move(service_name)}, m_store{keys} {
    std::thread{[this] { keep_in_touch(); }}.detach();
}

service::~service() = default;

instance& service::add_instance(const std::string& id, const std::string& zone) {
    auto added = std::make_unique<instance>(*this, m_store, id, zone);
    const std::lock_guard guard{lock};
    instances.push_back(std::move(added));
    return *instances.back();
}

instance& service::replace(instance& ended, const std::string& id) {
    auto added = std::make_unique<instance>(*this, m_store, id, ended.zone(), ended.port());
    const std::lock_guard guard{lock};
    added->take_over(ended);
    if (leader == &ended) {
        leader = added.get();
    }
    instances.push_back(std::move(added));
    return *instances.back();
}

instance* service::find(const std::string& id) {
    const std::lock_guard guard{lock};
    for (const auto& item : instances) {
        if (item->id() == id && item->is_running()) {
            return item.get();
        }
    }
    return nullptr;
}

void service::promote(instance& successor) {
    {
        const std::lock_guard guard{lock};
        if (!successor.is_running()) {
            note("no effect: " + successor.id() + " is not running");
            return;
        }
        if (leader == &successor && successor.is_primary) {
            note("no effect: " + successor.id() + " leads already");
            return;
        }
        successor.become_primary();
        leader = &successor;
        promotions.push_back({now_ms(), successor.id(), successor.term(), successor.last_point()});
    }
    successor.report();
}

void service::add_to_history(const commit& added, const log_point& parent) {
    m_history[added.point] = {parent, added.id};
}

log_point service::parent_of(const log_point& point) const {
    const auto found = m_history.find(point);
    return found == m_history.end() ? log_point{} : found->second.parent;
}

std::vector<log_point> service::chain(log_point end) const {
    std::vector<log_point> points(end.number + 1);
    for (; end.number > 0; end = parent_of(end)) {
        points[end.number] = end;
    }
    return points;
}

bool service::log_has(log_point end, const std::string& id) const {
    for (auto found = m_history.find(end); found != m_history.end();
         found = m_history.find(found->second.parent)) {
        if (found->second.id == id) {
            return true;
        }
    }
    return false;
}

/// Replicas receive what they lack, and old primaries step down once they reach the new one.
void service::keep_in_touch() {
    for (;;) {
        sleep_ms(tick_ms);
        std::vector<instance*> changed;
        {
            const std::lock_guard guard{lock};
            for (const auto& item : instances) {
                if (item->keep_in_touch()) {
                    changed.push_back(item.get());
                }
            }
        }
        for (instance* const item : changed) {
            item->report();
        }
    }
}

}  // namespace jasminelead::soak
