#include "workload.h"

#include <algorithm>
#include <utility>

namespace jasminelead::support {
namespace {

constexpr std::size_t writes_per_key = 20;

bool is_unknown(const std::optional<caller_reply>& reply) {
    return !reply || std::holds_alternative<unknown_outcome>(reply->result);
}

bool is_done(const std::optional<caller_reply>& reply) {
    return reply && std::holds_alternative<done>(reply->result);
}

std::string marker_of(const std::string& statement) {
    return statement.substr(statement.rfind(' ') + 1);
}

}  // namespace

struct workload::session {
    std::size_t number = 0;
    group_id group;
    std::string token;
    std::size_t statement_count = 0;
    std::vector<std::string> acknowledged_markers;  ///< Acknowledged markers of the current key.

    [[nodiscard]] std::string key() const {
        return "s" + std::to_string(number) + "." +
               std::to_string(statement_count / writes_per_key);
    }
    std::string next_statement() {
        const std::string name = key();
        const std::string text =
            "append " + name + " " + name + ":" + std::to_string(statement_count) + ";";
        ++statement_count;
        if (statement_count % writes_per_key == 0) {
            acknowledged_markers.clear();
        }
        return text;
    }
};

/// A write or transaction and the outcome reported to its caller.
struct workload::write {
    group_id group;
    std::vector<std::string> statements;
    std::string handle;
    bool idempotent = false;
    bool acknowledged = false;
    bool refused = false;
};

workload::workload(testbed& bed, workload_settings settings)
    : m_testbed{bed}, m_settings{settings} {
    for (std::size_t i = 0; i < m_settings.sessions; ++i) {
        auto caller = std::make_unique<session>();
        caller->number = i;
        caller->group = bed.groups()[i % bed.groups().size()];
        m_sessions.push_back(std::move(caller));
    }
}

workload::~workload() = default;

void workload::start() {
    for (auto& caller : m_sessions) {
        schedule_next(*caller);
    }
}

bool workload::chance(double probability) {
    return std::bernoulli_distribution{probability}(m_testbed.random());
}

host_id workload::choose_host() {
    std::uniform_int_distribution<std::size_t> index{0, m_testbed.hosts().size() - 1};
    host_id host = m_testbed.hosts()[index(m_testbed.random())];
    // Like a load balancer, skips hosts that are down, paused, drained or not ready, unless every
    // attempt finds one.
    for (std::size_t i = 0; i < m_testbed.hosts().size() && !m_testbed.is_up(host); ++i) {
        host = m_testbed.hosts()[index(m_testbed.random())];
    }
    return host;
}

void workload::schedule_next(session& caller) {
    if (m_stopped) {
        return;
    }
    std::exponential_distribution<double> pause{1.0 / m_settings.think_time.ms()};
    m_testbed.schedule(duration::from_ms(pause(m_testbed.random())), [this, &caller] {
        if (m_stopped) {
            return;
        }
        if (chance(m_settings.reads)) {
            chance(m_settings.max_age_reads) ? read_other_session(caller)
                                             : read_own_session(caller);
        } else {
            chance(m_settings.transactions) ? write_transaction(caller) : write_single(caller);
        }
    });
}

caller_request workload::request(const session& caller, request_kind kind) const {
    caller_request result;
    result.kind = kind;
    result.service = service_id{caller.number % 2 == 0 ? "web" : "desk"};
    result.group = caller.group;
    result.timeout = m_settings.timeout;
    result.session = caller.token;
    return result;
}

void workload::send(session& caller, caller_request request, testbed::reply_handler handler) {
    ++m_report.requests;
    ++m_in_flight;
    m_testbed.submit(choose_host(), std::move(request),
                     [this, &caller, handler = std::move(handler)](const auto& reply) {
                         --m_in_flight;
                         if (is_unknown(reply)) {
                             ++m_report.unknown;
                         } else if (is_done(reply)) {
                             ++m_report.done;
                         } else {
                             ++m_report.not_run;
                             const auto why = std::get<not_run>(reply->result).why;
                             ++m_report.not_run_reasons[std::string{to_string(why)}];
                         }
                         if (reply && !reply->session.empty()) {
                             caller.token = reply->session;
                         }
                         handler(reply);
                     });
}

void workload::read_own_session(session& caller) {
    caller_request read = request(caller, request_kind::statement);
    const std::string key = caller.key();
    read.read = true;
    read.text = "get " + key;
    send(caller, std::move(read), [this, &caller, key](const auto& reply) {
        if (is_done(reply)) {
            ++m_report.reads;
            m_report.replica_reads += reply->endpoint == m_testbed.primary_of(caller.group) ? 0 : 1;
            check_read_value(caller, key, std::get<done>(reply->result).result);
        }
        schedule_next(caller);
    });
}

void workload::check_read_value(const session& caller, const std::string& key,
                                const std::string& value) {
    for (const std::string& marker : caller.acknowledged_markers) {
        if (value.find(marker) == std::string::npos) {
            record_violation(promise::read_your_writes);
        }
    }
    for (std::size_t end = value.find(';'); end != std::string::npos;
         end = value.find(';', end + 1)) {
        const std::size_t colon = value.rfind(':', end);
        const bool own = colon != std::string::npos && colon >= key.size() &&
                         value.compare(colon - key.size(), key.size(), key) == 0;
        if (!own) {
            record_violation(promise::answer_integrity);
        }
    }
}

void workload::read_other_session(session& caller) {
    caller_request read = request(caller, request_kind::statement);
    // Reads of another session's data carry no session token.
    read.session.clear();
    read.read = true;
    read.text = "get s" + std::to_string((caller.number + 3) % m_sessions.size()) + ".0";
    read.max_age = duration::from_ms(2000);
    ++m_report.requests;
    ++m_in_flight;
    m_testbed.submit(choose_host(), std::move(read), [this, &caller](const auto& reply) {
        --m_in_flight;
        m_report.unknown += is_unknown(reply) ? 1 : 0;
        if (is_done(reply)) {
            ++m_report.done;
            ++m_report.reads;
            ++m_report.max_age_reads;
            const bool replica = reply->endpoint != m_testbed.primary_of(caller.group);
            m_report.replica_reads += replica ? 1 : 0;
            m_report.max_age_replica_reads += replica ? 1 : 0;
        } else if (!is_unknown(reply)) {
            ++m_report.not_run;
            ++m_report
                  .not_run_reasons[std::string{to_string(std::get<not_run>(reply->result).why)}];
        }
        schedule_next(caller);
    });
}

void workload::write_single(session& caller) {
    auto written = std::make_shared<write>();
    written->group = caller.group;
    written->statements = {caller.next_statement()};
    written->idempotent = chance(m_settings.idempotent);
    m_writes.push_back(written);
    caller_request request = this->request(caller, request_kind::statement);
    request.text = written->statements.front();
    request.idempotent = written->idempotent;
    send(caller, std::move(request),
         [this, &caller, written](const auto& reply) { finish_write(caller, written, reply); });
}

void workload::write_transaction(session& caller) {
    auto transaction = std::make_shared<write>();
    transaction->group = caller.group;
    caller_request begin = request(caller, request_kind::begin);
    send(caller, std::move(begin), [this, &caller, transaction](const auto& reply) {
        if (!is_done(reply)) {
            schedule_next(caller);
            return;
        }
        transaction->statements = {caller.next_statement(), caller.next_statement()};
        transaction->handle = reply->transaction;
        m_writes.push_back(transaction);
        execute_remaining(caller, transaction, 0);
    });
}

void workload::execute_remaining(session& caller, const std::shared_ptr<write>& transaction,
                                 std::size_t index) {
    if (index == transaction->statements.size()) {
        commit(caller, transaction);
        return;
    }
    caller_request execute = request(caller, request_kind::execute);
    execute.text = transaction->statements[index];
    execute.transaction = transaction->handle;
    send(caller, std::move(execute), [this, &caller, transaction, index](const auto& reply) {
        if (is_done(reply)) {
            execute_remaining(caller, transaction, index + 1);
        } else {
            transaction->refused = true;
            roll_back_or_abandon(caller, transaction);
        }
    });
}

/// Abandons a fifth of the failed transactions without a rollback.
void workload::roll_back_or_abandon(session& caller, const std::shared_ptr<write>& transaction) {
    if (chance(0.2)) {
        schedule_next(caller);
        return;
    }
    caller_request rollback = request(caller, request_kind::rollback);
    rollback.transaction = transaction->handle;
    send(caller, std::move(rollback), [this, &caller](const auto&) { schedule_next(caller); });
}

void workload::commit(session& caller, const std::shared_ptr<write>& transaction) {
    caller_request commit = request(caller, request_kind::commit);
    commit.transaction = transaction->handle;
    send(caller, std::move(commit), [this, &caller, transaction](const auto& reply) {
        finish_write(caller, transaction, reply);
    });
}

void workload::finish_write(session& caller, const std::shared_ptr<write>& written,
                            const std::optional<caller_reply>& reply) {
    written->acknowledged = is_done(reply);
    written->refused = !is_unknown(reply) && !is_done(reply);
    if (written->acknowledged) {
        const std::string key = caller.key();
        for (const std::string& statement : written->statements) {
            const std::string marker = marker_of(statement);
            if (marker.starts_with(key + ":")) {
                caller.acknowledged_markers.push_back(marker);
            }
        }
    }
    schedule_next(caller);
}

void workload::check_final_state() {
    for (const group_id& group : m_testbed.groups()) {
        check_primary_log(group);
    }
    for (const auto& written : m_writes) {
        for (const std::string& statement : written->statements) {
            const auto found = m_testbed.executed().find(statement);
            const int times = found == m_testbed.executed().end() ? 0 : found->second;
            if (written->refused && times > 0) {
                record_violation(promise::not_run_truth);
            }
            if (!written->idempotent && times > 1) {
                record_violation(promise::at_most_once);
            }
        }
    }
    if (m_testbed.has_exceeded_limits()) {
        record_violation(promise::connection_limit);
    }
}

/// Checks that acknowledged writes are in the primary's log and that each record holds a whole
/// transaction.
void workload::check_primary_log(const group_id& group) {
    const endpoint_id primary = m_testbed.primary_of(group);
    std::map<std::string, std::vector<std::string>> records;
    if (!primary.empty()) {
        for (const log_record& record : m_testbed.endpoint(primary).log()) {
            for (const std::string& statement : record.statements) {
                records[statement] = record.statements;
            }
        }
    }
    for (const auto& written : m_writes) {
        if (written->group != group) {
            continue;
        }
        const auto found = records.find(written->statements.front());
        if (found == records.end()) {
            if (written->acknowledged) {
                record_violation(promise::superseded_ack);
            }
        } else if (found->second != written->statements) {
            record_violation(promise::transaction_isolation);
        }
    }
}

std::uint64_t workload::violations() const {
    std::uint64_t total = 0;
    for (const auto& [name, times] : m_report.violations) {
        total += times;
    }
    return total;
}

}  // namespace jasminelead::support
