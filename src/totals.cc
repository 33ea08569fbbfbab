#include "jasminelead/totals.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace jasminelead {
namespace {

namespace json = boost::json;
using namespace literals;

/// Delay before a failed put is retried during a planned shutdown.
constexpr duration flush_retry_delay = 1_s;
constexpr duration put_interval = 60_s;
/// Limits 480 daemons to 1.6 writes/s in total.
constexpr duration large_fleet_interval = 300_s;
constexpr std::size_t large_fleet_hosts = 48;
/// A finished day still accepts requests for this time.
constexpr duration finished_day_retention = 600_s;
/// If the store is down, days beyond this number are dropped, the oldest first.
constexpr std::size_t max_days = 3;

struct counted_member {
    std::string_view name;
    std::uint64_t request_counts::*member;
};
constexpr std::array counted_members = {
    counted_member{"done", &request_counts::done},
    counted_member{"not_run", &request_counts::not_run},
    counted_member{"unknown", &request_counts::unknown},
    counted_member{"reads", &request_counts::reads},
    counted_member{"replica_reads", &request_counts::replica_reads},
};

bool parse_row(const json::value& value, day_counts& counts) {
    const json::object* const row = value.if_object();
    const json::value* const group = row == nullptr ? nullptr : row->if_contains("group");
    const json::value* const service = row == nullptr ? nullptr : row->if_contains("service");
    if (group == nullptr || service == nullptr || !group->is_string() || !service->is_string()) {
        return false;
    }
    request_counts parsed;
    for (const counted_member& counted : counted_members) {
        const json::value* const number = row->if_contains(counted.name);
        if (number == nullptr || !number->is_int64() || number->get_int64() < 0) {
            return false;
        }
        parsed.*counted.member = static_cast<std::uint64_t>(number->get_int64());
    }
    const totals_key key{group_id{std::string{group->get_string()}},
                         service_id{std::string{service->get_string()}}};
    counts[key] += parsed;
    return true;
}

}  // namespace

outcome_kind kind_of(const outcome& result) {
    return static_cast<outcome_kind>(result.index());
}

request_counts& request_counts::operator+=(const request_counts& other) {
    for (const counted_member& counted : counted_members) {
        this->*counted.member += other.*counted.member;
    }
    return *this;
}

std::string totals_prefix(std::string_view day) {
    return "totals/" + std::string{day} + "/";
}

std::string write_json(const day_counts& counts) {
    json::array rows;
    for (const auto& [key, value] : counts) {
        json::object row{{"group", key.group.str()}, {"service", key.service.str()}};
        for (const counted_member& counted : counted_members) {
            row[counted.name] = value.*counted.member;
        }
        rows.push_back(std::move(row));
    }
    return json::serialize(json::object{{"rows", std::move(rows)}});
}

std::optional<day_counts> parse_totals(std::string_view text) {
    boost::system::error_code error;
    const json::value value = json::parse({text.data(), text.size()}, error);
    const json::object* const object = error ? nullptr : value.if_object();
    const json::value* const rows = object == nullptr ? nullptr : object->if_contains("rows");
    if (rows == nullptr || !rows->is_array()) {
        return std::nullopt;
    }
    day_counts counts;
    for (const json::value& row : rows->get_array()) {
        if (!parse_row(row, counts)) {
            return std::nullopt;
        }
    }
    return counts;
}

void totals::add(const group_id& group, const service_id& service, outcome_kind kind, bool read,
                 bool replica, std::string_view day) {
    auto found = m_days.find(day);
    if (found == m_days.end()) {
        found = m_days.try_emplace(std::string{day}).first;
    }
    request_counts& counts = found->second.counts[{group, service}];
    const bool done = kind == outcome_kind::done;
    counts.done += done ? 1 : 0;
    counts.not_run += kind == outcome_kind::not_run ? 1 : 0;
    counts.unknown += kind == outcome_kind::unknown ? 1 : 0;
    counts.reads += done && read ? 1 : 0;
    counts.replica_reads += done && read && replica ? 1 : 0;
    ++found->second.changes;
}

void totals::tick(instant now, action_list& out) {
    if (!m_scheduled) {
        m_scheduled = true;
        m_next_put = now + next_interval();
    }
    finish_days(now, out);
    if (now >= m_next_put) {
        m_next_put = now + next_interval();
        put_all(out);
    }
}

std::optional<instant> totals::next_wakeup() const {
    return m_next_put;
}

/// Adds jitter, so that daemons that started together do not write at the same time.
duration totals::next_interval() {
    const bool large = m_context.fleet->hosts().size() > large_fleet_hosts;
    std::uniform_real_distribution<double> jitter{0.9, 1.1};
    return (large ? large_fleet_interval : put_interval) * jitter(m_context.random);
}

/// Writes a finished day immediately and drops it after the time for late counts.
void totals::finish_days(instant now, action_list& out) {
    while (m_days.size() > max_days) {
        m_days.erase(m_days.begin());
    }
    for (auto day = m_days.begin(); day != m_days.end();) {
        const bool present = std::next(day) == m_days.end();
        if (!present && !day->second.finished) {
            day->second.finished = now;
            put(day->first, day->second, out);
        }
        const auto finished = day->second.finished;
        const bool dropped = finished && now - *finished >= finished_day_retention &&
                             day->second.is_stored() && !day->second.call;
        day = dropped ? m_days.erase(day) : std::next(day);
    }
}

void totals::put_all(action_list& out) {
    for (auto& [day, state] : m_days) {
        put(day, state, out);
    }
}

/// Allows only one unanswered put for each key, because two could arrive in the wrong order and
/// leave the older counts in the store.
void totals::put(const std::string& day, day_state& state, action_list& out) {
    if (state.is_stored() || state.call) {
        return;
    }
    state.call = ++m_call;
    state.sent_changes = state.changes;
    std::string key =
        totals_prefix(day) + m_context.self.str() + "/" + std::to_string(m_context.incarnation);
    out.emplace_back(store_call{{call_module::totals, *state.call},
                                store_put{std::move(key), write_json(state.counts)}});
}

void totals::on_store(const store_answered& answer, instant now, action_list& out) {
    for (auto& [day, state] : m_days) {
        if (state.call != answer.id.number) {
            continue;
        }
        state.call.reset();
        if (answer.result.status == store_status::ok) {
            state.stored_changes = state.sent_changes;
        }
        if (m_flushing && answer.result.status == store_status::ok) {
            put(day, state, out);
        } else if (m_flushing) {
            m_next_put = std::min(m_next_put, now + flush_retry_delay);
        }
    }
    finish_days(now, out);
}

void totals::flush(action_list& out) {
    m_flushing = true;
    put_all(out);
}

bool totals::is_flushed() const {
    return std::all_of(m_days.begin(), m_days.end(),
                       [](const auto& item) { return item.second.is_stored(); });
}

}  // namespace jasminelead
