#include "jasminelead/admission.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jasminelead {
namespace {

using namespace literals;

/// Inverse weight of a new sample in the moving average: the average follows a change of load
/// within about 16 statements, and one slow statement does not cause the whole queue to be refused.
constexpr std::int64_t mean_weight = 16;
/// Charge of a statement while the mean time is unknown.
constexpr duration assumed_time = 1_ms;

/// First entry whose deadline is not after the given one, in descending order of deadlines. Among
/// equal deadlines, later arrivals are inserted in front of earlier ones, so that they are popped
/// later.
template <class Entries>
auto insertion_point(Entries& list, instant deadline) {
    return std::lower_bound(list.begin(), list.end(), deadline,
                            [](const auto& item, instant key) { return item.deadline > key; });
}

template <class Entries>
bool erase_number(Entries& list, std::uint64_t number) {
    return std::erase_if(list, [number](const auto& item) { return item.number == number; }) > 0;
}

}  // namespace

admission::verdict admission::push(const admission_request& request, std::uint32_t slots,
                                   instant now) {
    if (request.deadline <= now) {
        return {reason::deadline, std::nullopt};
    }
    service_queue& queue = m_service_queues[request.service];
    queue.share = std::max<double>(request.share, 1);
    // A statement of an open transaction is not refused because of the estimate: its connection is
    // of no use to others until the transaction ends.
    if (!request.holds_connection &&
        now + expected_wait(queue, request.deadline, slots) > request.deadline) {
        return {reason::overloaded, std::nullopt};
    }
    std::optional<std::uint64_t> evicted;
    if (m_size >= capacity) {
        evicted = evict_for(queue);
        if (!evicted) {
            return {reason::overloaded, std::nullopt};
        }
    }
    if (queue.size() == 0) {
        // An idle service must not accumulate credit.
        queue.start = std::max(queue.start, m_virtual_time);
    }
    entries& list = request.holds_connection ? queue.bound : queue.unbound;
    list.insert(insertion_point(list, request.deadline),
                {request.deadline, request.number, request.account});
    ++m_size;
    return {std::nullopt, evicted};
}

duration admission::expected_wait(const service_queue& queue, instant deadline,
                                  std::uint32_t slots) const {
    const auto ahead_in = [deadline](const entries& list) {
        return static_cast<double>(list.end() - insertion_point(list, deadline));
    };
    double shares = queue.size() == 0 ? queue.share : 0;
    for (const auto& [service, other] : m_service_queues) {
        shares += other.size() == 0 ? 0 : other.share;
    }
    // The other services are served in proportion to their shares meanwhile, but at most as many
    // entries as are queued. Without this bound, the backlog of one service would cause calls of
    // others to be refused.
    const double own = ahead_in(queue.bound) + ahead_in(queue.unbound);
    const double ahead = std::min(static_cast<double>(m_size), own * shares / queue.share);
    return m_mean * (ahead / std::max<double>(slots, 1));
}

std::optional<std::uint64_t> admission::evict_for(const service_queue& incoming) {
    const double incoming_use = static_cast<double>(incoming.size() + 1) / incoming.share;
    service_queue* worst = nullptr;
    double worst_use = incoming_use;
    for (auto& [service, queue] : m_service_queues) {
        const double use = static_cast<double>(queue.size()) / queue.share;
        if (!queue.unbound.empty() && use > worst_use) {
            worst = &queue;
            worst_use = use;
        }
    }
    if (worst == nullptr) {
        return std::nullopt;
    }
    const std::uint64_t number = worst->unbound.front().number;
    worst->unbound.erase(worst->unbound.begin());
    --m_size;
    return number;
}

std::optional<admission::dispatched> admission::pop(bool connection_idle,
                                                    const service_predicate& below_share) {
    return pop_next(below_share, [connection_idle](const account_id&) { return connection_idle; });
}

std::optional<admission::dispatched> admission::pop_for_account(
    const account_predicate& has_connection) {
    return pop_next([](const service_id&) { return true; }, has_connection);
}

std::optional<admission::dispatched> admission::pop_next(const service_predicate& below_share,
                                                         const account_predicate& has_connection) {
    service_queue* best = nullptr;
    entries* from = nullptr;
    entries::iterator at;
    for (auto& [service, queue] : m_service_queues) {
        if (queue.size() == 0) {
            continue;
        }
        // The entry with the earliest deadline is at the back.
        const auto next =
            std::find_if(queue.unbound.rbegin(), queue.unbound.rend(),
                         [&](const entry& item) { return has_connection(item.account); });
        bool unbound = next != queue.unbound.rend();
        if (unbound && !below_share(service)) {
            // A service at its own connection limit must not accumulate credit.
            unbound = false;
            queue.start = std::max(queue.start, m_virtual_time);
        }
        if ((!unbound && queue.bound.empty()) || (best != nullptr && queue.start >= best->start)) {
            continue;
        }
        const bool take_bound =
            !unbound || (!queue.bound.empty() && queue.bound.back().deadline <= next->deadline);
        best = &queue;
        from = take_bound ? &queue.bound : &queue.unbound;
        at = take_bound ? std::prev(queue.bound.end()) : std::prev(next.base());
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return take(*best, *from, at);
}

admission::dispatched admission::take(service_queue& queue, entries& from, entries::iterator at) {
    const duration charged = m_mean > duration{} ? m_mean : assumed_time;
    const dispatched result{at->number, charged};
    from.erase(at);
    --m_size;
    m_virtual_time = std::max(m_virtual_time, queue.start);
    queue.start += static_cast<double>(charged.us()) / queue.share;
    return result;
}

void admission::complete(const service_id& service, duration charged, duration taken) {
    m_mean = m_mean == duration{} ? taken : m_mean + (taken - m_mean) / mean_weight;
    refund(service, charged - taken);
}

void admission::refund(const service_id& service, duration charged) {
    const auto found = m_service_queues.find(service);
    if (found != m_service_queues.end()) {
        found->second.start -= static_cast<double>(charged.us()) / found->second.share;
    }
}

bool admission::remove(const service_id& service, std::uint64_t number) {
    const auto found = m_service_queues.find(service);
    if (found == m_service_queues.end()) {
        return false;
    }
    const bool removed =
        erase_number(found->second.unbound, number) || erase_number(found->second.bound, number);
    m_size -= removed ? 1 : 0;
    return removed;
}

std::vector<account_demand> admission::waiting_accounts() const {
    std::map<account_id, account_demand> demands;
    for (const auto& [service, queue] : m_service_queues) {
        for (const entry& item : queue.unbound) {
            account_demand& demand =
                demands.try_emplace(item.account, account_demand{item.account, 0, item.deadline})
                    .first->second;
            ++demand.waiting;
            demand.first_deadline = std::min(demand.first_deadline, item.deadline);
        }
    }
    std::vector<account_demand> result;
    for (const auto& [account, demand] : demands) {
        result.push_back(demand);
    }
    std::stable_sort(result.begin(), result.end(), [](const auto& a, const auto& b) {
        return a.first_deadline < b.first_deadline;
    });
    return result;
}

std::vector<std::uint64_t> admission::take_expired(instant now) {
    std::vector<std::uint64_t> expired;
    for (auto& [service, queue] : m_service_queues) {
        for (entries* list : {&queue.bound, &queue.unbound}) {
            while (!list->empty() && list->back().deadline <= now) {
                expired.push_back(list->back().number);
                list->pop_back();
                --m_size;
            }
        }
    }
    return expired;
}

std::optional<instant> admission::next_deadline() const {
    std::optional<instant> next;
    for (const auto& [service, queue] : m_service_queues) {
        for (const entries* list : {&queue.bound, &queue.unbound}) {
            if (!list->empty() && (!next || list->back().deadline < *next)) {
                next = list->back().deadline;
            }
        }
    }
    return next;
}

}  // namespace jasminelead
