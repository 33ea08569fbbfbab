#include "soak/judge.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "soak/client.h"
#include "soak/clock.h"
#include "soak/instance.h"

namespace jasminelead::soak {
namespace {

// A sender that was frozen or cut off so shortly before is not counted.
constexpr double thaw_ms = 300;
// A quarter of the requests has to be served.
constexpr int recovery_tries = 4;
constexpr double recovery_pause_ms = 300;
// From the removal of a key to the end of its use, by hosts that were not disturbed.
constexpr double revocation_ms = 5000;
// The tolerance of limits, as the daemons' settings have it by default.
constexpr double limit_window_ms = 5000;
constexpr double limit_excess = 0.1;
constexpr double limit_slack = 20;
// The longest deadline of the users' clients that write.
constexpr double recovery_timeout_ms = 1500;

bool is_write(const std::string& text) {
    return text.starts_with("WRITE") || text.starts_with("EXECUTE WRITE");
}

bool is_read(const std::string& text) {
    return text.starts_with("READ") || text.starts_with("EXECUTE READ");
}

bool needs_signature(const std::string& text) {
    return is_write(text) || is_read(text) || text == "COMMIT";
}

struct sent_statement {
    const attempt_record* attempt = nullptr;
    const statement_record* statement = nullptr;
};
using sent_statements = std::map<std::string, sent_statement>;

sent_statements index_statements(const std::vector<attempt_record>& attempts) {
    sent_statements result;
    for (const attempt_record& attempt : attempts) {
        for (const statement_record& item : attempt.statements) {
            result[item.id] = {&attempt, &item};
        }
    }
    return result;
}

std::string at_text(double at) {
    return std::to_string(static_cast<long long>(at)) + " ms";
}

/// Judges one service; its lock is held.
class service_judge {
public:
    service_judge(const service& group, const sent_statements& sent,
                  const disturbance_log& disturbances, const std::vector<promotion_record>& calls)
        : m_group{group}, m_sent{sent}, m_disturbances{disturbances}, m_calls{calls} {}

    std::vector<violation> run() {
        for (const promotion_event& done : m_group.promotions) {
            m_promoted_logs.push_back(m_group.chain(done.log_end));
        }
        m_log = m_group.chain(m_group.leader->last_point());
        check_one();
        check_tokens();
        check_commits();
        check_runs();
        check_promised();
        find_kept_commits();
        check_stale();
        check_lost();
        return std::move(m_found);
    }

private:
    struct acknowledged_commit {
        double at = 0;
        std::uint64_t session = 0;
        log_point point;
        std::string id;
    };

    void report(const std::string& rule, const std::string& text, const std::string& id = "",
                double at = 0) {
        m_found.push_back({rule, m_group.name + ": " + text, m_group.name, id, at});
    }
    [[nodiscard]] const sent_statement* find(const std::string& id) const {
        const auto found = m_sent.find(id);
        return found == m_sent.end() ? nullptr : &found->second;
    }
    [[nodiscard]] bool is_acknowledged(const std::string& id) const {
        const sent_statement* const sent = find(id);
        return sent != nullptr && sent->statement->is_done;
    }
    static bool has(const std::vector<log_point>& log, const log_point& point) {
        return point.number < log.size() && log[point.number] == point;
    }
    /// True when the log that ends there has a commit of the present log.
    [[nodiscard]] bool log_has(log_point end, const log_point& point) const {
        while (end.number > 0 && !has(m_log, end)) {
            end = m_group.parent_of(end);
        }
        return point.number <= end.number && has(m_log, point);
    }
    /// The first promotion from a time on of an instance without the commit.
    [[nodiscard]] const promotion_event* first_without(const log_point& point, double time) const {
        for (std::size_t i = 0; i < m_promoted_logs.size(); ++i) {
            if (m_group.promotions[i].at >= time && !has(m_promoted_logs[i], point)) {
                return &m_group.promotions[i];
            }
        }
        return nullptr;
    }
    /// The call that led to a promotion: the last one of the instance with this effect.
    [[nodiscard]] std::string call_of(const promotion_event& done) const {
        const promotion_record* cause = nullptr;
        for (const promotion_record& call : m_calls) {
            if (call.service == m_group.name && call.instance == done.instance && call.effect > 0 &&
                call.effect <= done.at + 1) {
                cause = &call;
            }
        }
        return cause == nullptr ? "no call"
                                : "call of " + cause->holder + " token " +
                                      std::to_string(cause->token) + " at " + at_text(cause->at);
    }

    /// ONE: a commit at an old primary after a promotion has taken effect.
    void check_one() {
        for (const commit_event& item : m_group.commits) {
            if (item.point.term >= item.newest_term || !is_acknowledged(item.id)) {
                continue;
            }
            const auto done = std::find_if(
                m_group.promotions.begin(), m_group.promotions.end(),
                [&](const promotion_event& event) { return event.term > item.point.term; });
            const bool is_excluded = m_disturbances.covers(item.host, instance_target(item.port),
                                                           item.arrived - thaw_ms, item.at);
            const std::string text = "commit " + item.id + " at " + item.instance + " term " +
                                     std::to_string(item.point.term) + " at " + at_text(item.at) +
                                     " by " + item.host + ", " + at_text(item.at - done->at) +
                                     " after " + done->instance + " led term " +
                                     std::to_string(done->term) + " (" + call_of(*done) + ")";
            if (is_excluded) {
                note("not counted, the sender was disturbed: " + text);
            } else {
                report("ONE", text, item.id, item.at);
            }
        }
    }
    /// ONE: two holders with one token, or a lower token than the platform has seen.
    void check_tokens() {
        std::map<std::uint64_t, std::string> holders;
        std::uint64_t newest = 0;
        for (const promotion_record& call : m_calls) {
            if (call.service != m_group.name) {
                continue;
            }
            const auto [known, is_new] = holders.emplace(call.token, call.holder);
            const std::string text = call.holder + " at " + at_text(call.at) + " with token " +
                                     std::to_string(call.token);
            if (!is_new && known->second != call.holder) {
                report("ONE", "the token of " + known->second + " was sent by " + text);
            }
            if (call.token < newest) {
                // A process that is suspended between its check and its call cannot know.
                const bool is_excluded = m_disturbances.covers(call.caller, promotion_target,
                                                               call.at - thaw_ms, call.at);
                const std::string lower =
                    text + ", lower than " + std::to_string(newest) + " seen before";
                if (is_excluded) {
                    note("not counted, the sender was disturbed: " + lower);
                } else {
                    report("ONE", lower);
                }
            }
            newest = std::max(newest, call.token);
        }
    }
    /// TWICE and UNASKED, by the commits that the instances made.
    void check_commits() {
        std::map<std::string, const commit_event*> made;
        for (const commit_event& item : m_group.commits) {
            for (const std::string& id : item.write_ids) {
                const auto [before, is_new] = made.emplace(id, &item);
                if (!is_new) {
                    report("TWICE", "write " + id + " committed at " + before->second->instance +
                                        " and at " + item.instance);
                }
            }
            if (find(item.id) == nullptr && probe_text(item.id).empty()) {
                report("UNASKED", "commit " + item.id + " at " + item.instance);
            }
        }
    }
    /// UNASKED and MIXED, by the statements that the instances ran.
    void check_runs() {
        std::map<std::string, std::vector<const run_event*>> runs;
        for (const run_event& item : m_group.runs) {
            runs[item.id].push_back(&item);
            const sent_statement* const sent = find(item.id);
            const std::string text = sent == nullptr ? probe_text(item.id) : sent->statement->text;
            if (text != item.text) {
                report("UNASKED", "statement " + item.id + " ran as " + item.text + " instead of " +
                                      (text.empty() ? "never" : text));
            }
        }
        for (const auto& [id, items] : runs) {
            const sent_statement* const sent = find(id);
            if (sent == nullptr || !sent->statement->is_done) {
                continue;
            }
            const statement_record& got = *sent->statement;
            const bool matches =
                std::any_of(items.begin(), items.end(), [&](const run_event* item) {
                    return item->signature == got.signature && item->rows == got.rows;
                });
            if (!matches) {
                report("MIXED", "statement " + id + " " + got.text + " was answered with " +
                                    got.signature + " " + shown(got.rows));
            }
        }
    }
    /// REFUSED: a write was committed though the client was told that nothing is kept.
    void check_promised() {
        for (const commit_event& item : m_group.commits) {
            for (const std::string& id : item.write_ids) {
                const sent_statement* const sent = find(id);
                if (sent != nullptr && sent->attempt->outcome == attempt_outcome::promised) {
                    report("REFUSED", "write " + id + " was committed at " + item.instance);
                    break;
                }
            }
        }
    }
    /// Acknowledged commits that no promotion rolled back, in the order of their answers.
    void find_kept_commits() {
        for (const commit_event& item : m_group.commits) {
            const bool is_kept = first_without(item.point, item.at) == nullptr;
            const bool is_led = item.point.term >= item.newest_term;
            if (is_kept && is_led && is_acknowledged(item.id)) {
                const sent_statement& sent = *find(item.id);
                m_kept.push_back(
                    {sent.statement->received, sent.attempt->session, item.point, item.id});
            }
        }
        std::sort(m_kept.begin(), m_kept.end(),
                  [](const auto& a, const auto& b) { return a.at < b.at; });
        const acknowledged_commit* newest = nullptr;
        for (const acknowledged_commit& item : m_kept) {
            newest = newest == nullptr || newest->point < item.point ? &item : newest;
            m_newest_kept.push_back(newest);
            m_kept_of_session[item.session].push_back(&item);
        }
    }
    /// The newest commit of those acknowledged before `time`.
    [[nodiscard]] const acknowledged_commit* newest_before(double time) const {
        const auto after = std::lower_bound(
            m_kept.begin(), m_kept.end(), time,
            [](const acknowledged_commit& item, double value) { return item.at < value; });
        return after == m_kept.begin()
                   ? nullptr
                   : m_newest_kept[static_cast<std::size_t>(after - m_kept.begin() - 1)];
    }
    [[nodiscard]] const acknowledged_commit* own_before(std::uint64_t session, double time) const {
        const acknowledged_commit* newest = nullptr;
        const auto found = m_kept_of_session.find(session);
        if (found != m_kept_of_session.end()) {
            for (const acknowledged_commit* const item : found->second) {
                const bool is_newer = newest == nullptr || newest->point < item->point;
                newest = item->at < time && is_newer ? item : newest;
            }
        }
        return newest;
    }
    /// STALE: a read ran on a log without a commit that its route requires.
    void check_stale() {
        for (const run_event& item : m_group.runs) {
            const sent_statement* const sent = find(item.id);
            if (sent == nullptr || !is_read(item.text) || !sent->statement->is_done) {
                continue;
            }
            const attempt_record& attempt = *sent->attempt;
            const double begun = attempt.statements.front().sent;
            const double limit = attempt.route_type == "primary" ? 0 : attempt.max_stale_ms;
            check_read(item, newest_before(begun - limit), begun);
            if (attempt.route_type == "read_your_writes") {
                check_read(item, own_before(attempt.session, begun), begun);
            }
        }
    }
    void check_read(const run_event& item, const acknowledged_commit* required, double begun) {
        if (required != nullptr && !log_has(item.log_end, required->point)) {
            report("STALE", "read " + item.id + " at " + item.instance + " by " + item.host +
                                " at " + at_text(item.at) + " on a log up to " +
                                item.log_end.text() + " without " + required->id + " " +
                                required->point.text() + ", acknowledged " +
                                at_text(begun - required->at) + " before");
        }
    }
    /// LOST: a promoted instance lacks a commit that was acknowledged with a replica.
    void check_lost() {
        for (const commit_event& item : m_group.commits) {
            const bool is_led = item.point.term >= item.newest_term;
            if (!m_group.synchronous || !is_led || !is_acknowledged(item.id)) {
                continue;
            }
            const double acknowledged = find(item.id)->statement->received;
            if (const auto* const done = first_without(item.point, acknowledged)) {
                report("LOST", "commit " + item.id + " " + item.point.text() + " at " +
                                   item.instance + " is not in the log of " + done->instance +
                                   ", promoted at " + at_text(done->at));
            }
        }
    }

    const service& m_group;
    const sent_statements& m_sent;
    const disturbance_log& m_disturbances;
    const std::vector<promotion_record>& m_calls;
    std::vector<std::vector<log_point>> m_promoted_logs;
    std::vector<log_point> m_log;  ///< Of the instance that was promoted last.
    std::vector<acknowledged_commit> m_kept;
    std::vector<const acknowledged_commit*> m_newest_kept;
    std::map<std::uint64_t, std::vector<const acknowledged_commit*>> m_kept_of_session;
    std::vector<violation> m_found;
};

/// A success that no instance's run stands behind.
void check_unsigned(const observation& seen, std::vector<violation>& found) {
    std::set<std::string> ran;
    for (const auto& group : seen.all.services) {
        const std::lock_guard lock{group->lock};
        for (const run_event& item : group->runs) {
            ran.insert(item.id);
        }
    }
    for (const attempt_record& attempt : seen.attempts) {
        for (const statement_record& item : attempt.statements) {
            if (item.is_done && needs_signature(item.text) && !ran.contains(item.id)) {
                found.push_back({"MIXED",
                                 "statement " + item.id + " " + item.text + " was answered with " +
                                     item.signature + " and ran nowhere",
                                 "", item.id, item.sent});
            }
        }
    }
}

/// UNASKED: a statement runs in the name of another account than its client's. CONFIG: one runs
/// whose client's key was taken away before it was sent.
void check_accounts(const observation& seen, const sent_statements& sent,
                    std::vector<violation>& found) {
    std::map<std::string, double> removed;
    for (const removed_key& item : seen.all.removed_keys()) {
        removed[item.key] = item.at;
    }
    for (const auto& group : seen.all.services) {
        const std::lock_guard lock{group->lock};
        for (const run_event& item : group->runs) {
            const auto sender = sent.find(item.id);
            if (sender == sent.end() || sender->second.attempt->account.empty()) {
                continue;
            }
            const attempt_record& attempt = *sender->second.attempt;
            if (attempt.account != item.account) {
                found.push_back({"UNASKED",
                                 group->name + ": statement " + item.id + " of " + attempt.account +
                                     " ran in the name of " + item.account,
                                 group->name, item.id, item.at});
            }
            const auto taken = removed.find(attempt.key);
            const double sent_at = sender->second.statement->sent;
            if (taken == removed.end() || sent_at < taken->second + revocation_ms) {
                continue;
            }
            if (!seen.disturbances.covers(attempt.host, "", taken->second, sent_at)) {
                found.push_back({"CONFIG",
                                 group->name + ": statement " + item.id + " ran " +
                                     at_text(sent_at - taken->second) +
                                     " after its key was removed",
                                 group->name, item.id, item.at});
            }
        }
    }
}

/// QUOTA: within some window, more operations of an account start at instances than its limit
/// allows. It holds for all hosts, whether they were disturbed or not.
void check_limits(const observation& seen, const sent_statements& sent,
                  std::vector<violation>& found) {
    const double limit = seen.all.account_limit_per_s;
    if (limit <= 0) {
        return;
    }
    std::map<const attempt_record*, double> first_runs;
    for (const auto& group : seen.all.services) {
        const std::lock_guard lock{group->lock};
        for (const run_event& item : group->runs) {
            const auto sender = sent.find(item.id);
            if (sender != sent.end() && !sender->second.attempt->account.empty()) {
                const auto [first, is_new] = first_runs.emplace(sender->second.attempt, item.at);
                first->second = is_new ? item.at : std::min(first->second, item.at);
            }
        }
    }
    std::map<std::string, std::vector<double>> starts;
    for (const auto& [attempt, at] : first_runs) {
        starts[attempt->account].push_back(at);
    }
    const double allowed =
        (limit * limit_window_ms / 1000 + limit) * (1 + limit_excess) + limit_slack;
    for (auto& [account, times] : starts) {
        std::sort(times.begin(), times.end());
        std::size_t first = 0;
        std::size_t most = 0;
        double most_from = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= limit_window_ms) {
                ++first;
            }
            if (last - first + 1 > most) {
                most = last - first + 1;
                most_from = times[first];
            }
        }
        if (static_cast<double>(most) > allowed) {
            found.push_back({"QUOTA",
                             account + ": " + std::to_string(most) + " operations within " +
                                 at_text(limit_window_ms) + ", allowed " +
                                 std::to_string(static_cast<long long>(allowed)),
                             "", "", most_from});
        }
    }
}

bool is_served(deployment& all, const daemon_process& daemon, const route& used,
               const std::string& text) {
    for (int tries = 0; tries < recovery_tries; ++tries) {
        client probe{daemon.front, used.database, all.probe_account().key()};
        if (probe.is_started() && probe.query(text, recovery_timeout_ms).ok()) {
            return true;
        }
        sleep_ms(recovery_pause_ms);
    }
    return false;
}

}  // namespace

void disturbance_log::add(const disturbance& item) {
    const std::lock_guard lock{m_lock};
    m_items.push_back(item);
}

bool disturbance_log::covers(const std::string& host, const std::string& target, double from,
                             double to) const {
    const std::lock_guard lock{m_lock};
    return std::any_of(m_items.begin(), m_items.end(), [&](const disturbance& item) {
        return item.host == host && (item.target.empty() || item.target == target) &&
               item.from <= to && item.to >= from;
    });
}

std::vector<violation> judge(const observation& seen) {
    const sent_statements sent = index_statements(seen.attempts);
    const auto calls = seen.all.promotions.calls();
    std::vector<violation> found;
    for (const auto& group : seen.all.services) {
        const std::lock_guard lock{group->lock};
        auto part = service_judge{*group, sent, seen.disturbances, calls}.run();
        std::move(part.begin(), part.end(), std::back_inserter(found));
    }
    check_unsigned(seen, found);
    check_accounts(seen, sent, found);
    check_limits(seen, sent, found);
    return found;
}

std::vector<violation> judge_recovery(deployment& all) {
    std::vector<violation> found;
    for (const daemon_process& daemon : all.daemons) {
        for (const route& used : all.routes) {
            if (!is_served(all, daemon, used, "READ seed")) {
                found.push_back(
                    {"RECOVER", "no read of " + used.database + " by " + daemon.host, "", "", 0});
            }
            if (used.type != "bounded_stale" && !is_served(all, daemon, used, "WRITE seed 1")) {
                found.push_back(
                    {"RECOVER", "no write of " + used.database + " by " + daemon.host, "", "", 0});
            }
        }
    }
    return found;
}

}  // namespace jasminelead::soak
