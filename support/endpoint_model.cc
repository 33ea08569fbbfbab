#include "endpoint_model.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>

namespace jasminelead::support {
namespace {

struct parsed_statement {
    std::string_view verb;
    std::string key;
    std::string_view argument;
};

std::optional<parsed_statement> parse(std::string_view text) {
    const std::size_t first = text.find(' ');
    if (first == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view verb = text.substr(0, first);
    const std::string_view rest = text.substr(first + 1);
    const std::size_t second = rest.find(' ');
    const bool has_argument = second != std::string_view::npos;
    if (has_argument == (verb == "get") || rest.empty()) {
        return std::nullopt;
    }
    if (verb != "get" && verb != "set" && verb != "add" && verb != "append") {
        return std::nullopt;
    }
    return parsed_statement{verb, std::string{rest.substr(0, second)},
                            has_argument ? rest.substr(second + 1) : std::string_view{}};
}

std::int64_t to_integer(std::string_view text) {
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string to_json(const boost::json::value& value) {
    return boost::json::serialize(value);
}

/// Term of the record at `position`, counted from 1.
term_number term_at(const std::vector<term_start>& starts, log_position position) {
    term_number term = 0;
    for (const term_start& start : starts) {
        if (start.position < position) {
            term = start.term;
        }
    }
    return term;
}

}  // namespace

endpoint_model::endpoint_model(endpoint_entry entry, endpoint_role role, endpoint_limits limits)
    : m_entry{std::move(entry)}, m_limits{limits}, m_role{role} {
    m_terms.push({1, 0});
}

position_stamp endpoint_model::stamp() const {
    // A log that was truncated to the prefix shared with its primary and has reached the start of
    // the primary's term holds everything before that term, even before the term's first record
    // arrives.
    term_number log_term = 0;
    for (const term_start& start : m_terms) {
        if (start.position <= m_log.size()) {
            log_term = std::max(log_term, start.term);
        }
    }
    return {m_term, log_term, m_log.size(), m_role};
}

endpoint_state endpoint_model::state(instant now) const {
    endpoint_state result;
    result.stamp = stamp();
    result.epoch = m_epoch;
    result.owner = m_owner;
    if (m_role == endpoint_role::replica) {
        result.primary_silence = now - m_primary_contact_at;
    }
    result.connections_open = static_cast<std::uint32_t>(m_connections.size());
    result.terms = m_terms;
    return result;
}

std::optional<endpoint_error> endpoint_model::connect(connection_id connection,
                                                      epoch_number epoch) {
    if (epoch != 0 && epoch != m_epoch) {
        return endpoint_error::stale_epoch;
    }
    m_connections.try_emplace(connection, session{epoch, false, {}});
    const auto open_connections = static_cast<std::uint32_t>(m_connections.size());
    m_most_connections = std::max(m_most_connections, open_connections);
    return std::nullopt;
}

void endpoint_model::disconnect(connection_id connection) {
    m_connections.erase(connection);
}

bool endpoint_model::is_open(connection_id connection) const {
    return m_connections.contains(connection);
}

run_result endpoint_model::make_result(run_status status, std::string result) const {
    return {status, std::move(result), stamp()};
}

bool endpoint_model::accepts_writes(term_number term) const {
    return m_role == endpoint_role::primary && term == m_term;
}

run_result endpoint_model::run(connection_id connection, request_kind kind, std::string_view text,
                               bool read, term_number term) {
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return make_result(run_status::refused, R"({"error":"connection is closed"})");
    }
    session& client_session = found->second;
    if (kind == request_kind::statement) {
        return client_session.in_transaction
                   ? make_result(run_status::refused, R"({"error":"a transaction is open"})")
                   : run_single(text, read, term);
    }
    return run_in_transaction(client_session, kind, text, read, term);
}

run_result endpoint_model::run_single(std::string_view text, bool read, term_number term) {
    const auto statement = parse(text);
    if (!statement || read != (statement->verb == "get")) {
        return make_result(run_status::rejected, R"({"error":"invalid statement"})");
    }
    if (read) {
        const auto found = m_data.find(statement->key);
        boost::json::value value = nullptr;
        if (found != m_data.end()) {
            value = found->second;
        }
        return make_result(run_status::ok, to_json({{"value", value}}));
    }
    if (!accepts_writes(term)) {
        return make_result(run_status::refused, R"({"error":"not primary at this term"})");
    }
    commit({std::string{text}});
    return make_result(run_status::ok, to_json({{"value", m_data[statement->key]}}));
}

run_result endpoint_model::run_in_transaction(session& client_session, request_kind kind,
                                              std::string_view text, bool read, term_number term) {
    if (kind == request_kind::begin) {
        if (client_session.in_transaction || !accepts_writes(term)) {
            return make_result(run_status::refused, R"({"error":"cannot begin"})");
        }
        client_session.in_transaction = true;
        return make_result(run_status::ok, "{}");
    }
    if (!client_session.in_transaction) {
        return make_result(run_status::refused, R"({"error":"no transaction is open"})");
    }
    if (kind == request_kind::execute) {
        if (read) {
            return run_single(text, true, term);
        }
        const auto statement = parse(text);
        if (!statement || statement->verb == "get") {
            return make_result(run_status::rejected, R"({"error":"invalid statement"})");
        }
        client_session.writes.emplace_back(text);
        return make_result(run_status::ok, "{}");
    }
    const std::vector<std::string> writes = std::exchange(client_session.writes, {});
    client_session.in_transaction = false;
    if (kind == request_kind::rollback) {
        return make_result(run_status::ok, "{}");
    }
    if (!accepts_writes(term)) {
        return make_result(run_status::refused, R"({"error":"not primary at this term"})");
    }
    commit(writes);
    return make_result(run_status::ok, "{}");
}

void endpoint_model::commit(std::vector<std::string> statements) {
    for (const std::string& statement : statements) {
        apply(statement);
    }
    m_log.push_back({m_term, std::move(statements)});
}

void endpoint_model::apply(std::string_view text) {
    const auto statement = parse(text);
    if (!statement) {
        return;
    }
    std::string& value = m_data[statement->key];
    if (statement->verb == "set") {
        value = statement->argument;
    } else if (statement->verb == "add") {
        value = std::to_string(to_integer(value) + to_integer(statement->argument));
    } else if (statement->verb == "append") {
        value += statement->argument;
    }
}

void endpoint_model::truncate(log_position size) {
    if (size >= m_log.size()) {
        return;
    }
    m_log.resize(size);
    m_data.clear();
    for (const log_record& record : m_log) {
        for (const std::string& statement : record.statements) {
            apply(statement);
        }
    }
}

control_result endpoint_model::control(const control_request& request, instant now) {
    struct visitor {
        endpoint_model& self;
        instant now;
        bool operator()(const status_query& /*unused*/) const { return true; }
        bool operator()(const claim_request& r) const { return self.accept(r); }
        bool operator()(const release_request& r) const { return self.accept(r); }
        bool operator()(const fence_request& r) const { return self.accept(r); }
        bool operator()(const promote_request& r) const { return self.accept(r); }
        bool operator()(const follow_request& r) const { return self.accept(r, now); }
    };
    const bool accepted = std::visit(visitor{*this, now}, request);
    return {accepted, state(now)};
}

bool endpoint_model::accept(const claim_request& request) {
    // A repeated claim by the owner means that the response to its first claim was lost.
    if (request.expected_epoch + 1 == m_epoch && request.owner == m_owner) {
        return true;
    }
    if (request.expected_epoch != m_epoch) {
        return false;
    }
    ++m_epoch;
    m_owner = request.owner;
    close_stale_connections();
    return true;
}

bool endpoint_model::accept(const release_request& request) {
    if (request.epoch != m_epoch) {
        return false;
    }
    m_owner = host_id{};
    ++m_epoch;
    close_stale_connections();
    return true;
}

void endpoint_model::close_stale_connections() {
    std::erase_if(m_connections, [this](const auto& item) {
        return item.second.epoch != 0 && item.second.epoch < m_epoch;
    });
}

bool endpoint_model::accept(const fence_request& request) {
    if (request.term == m_term && request.candidate == m_candidate) {
        return true;
    }
    if (request.term <= m_term) {
        return false;
    }
    m_term = request.term;
    m_candidate = request.candidate;
    m_role = endpoint_role::replica;
    m_primary = endpoint_id{};
    return true;
}

bool endpoint_model::accept(const promote_request& request) {
    if (request.term != m_term || request.candidate != m_candidate) {
        return false;
    }
    if (m_role == endpoint_role::replica) {
        m_role = endpoint_role::primary;
        m_primary = m_entry.id;
        m_terms.push({m_term, m_log.size()});
    }
    return true;
}

bool endpoint_model::accept(const follow_request& request, instant now) {
    if (request.term < m_term || request.primary == m_entry.id) {
        return false;
    }
    if (request.term == m_term && m_role == endpoint_role::primary) {
        return false;
    }
    if (m_primary != request.primary || m_term != request.term) {
        m_primary_contact_at = now;
    }
    m_term = request.term;
    m_role = endpoint_role::replica;
    m_primary = request.primary;
    return true;
}

std::vector<term_start> endpoint_model::log_term_starts() const {
    std::vector<term_start> starts;
    for (std::size_t i = 0; i < m_log.size(); ++i) {
        if (starts.empty() || starts.back().term != m_log[i].term) {
            starts.push_back({m_log[i].term, i});
        }
    }
    return starts;
}

log_position endpoint_model::common_prefix(const std::vector<term_start>& starts,
                                           log_position size) const {
    log_position position = std::min<log_position>(size, m_log.size());
    while (position > 0 && m_log[position - 1].term != term_at(starts, position)) {
        --position;
    }
    return position;
}

std::optional<replication_batch> endpoint_model::records_for(const endpoint_model& replica,
                                                             std::size_t max_records) const {
    if (m_entry.id != replica.m_primary || m_role != endpoint_role::primary) {
        return std::nullopt;
    }
    // Logs with equal terms at a position are equal up to it (log matching), so all records are
    // compared only when the ends differ.
    const std::size_t size = replica.m_log.size();
    const bool same_end =
        size <= m_log.size() && (size == 0 || m_log[size - 1].term == replica.m_log[size - 1].term);
    const log_position from =
        same_end ? size : common_prefix(replica.log_term_starts(), replica.m_log.size());
    const auto missing = std::span{m_log}.subspan(from);
    const auto records = missing.first(std::min(missing.size(), max_records));
    return replication_batch{m_term, from, {records.begin(), records.end()}, m_terms};
}

bool endpoint_model::replicate(const endpoint_model& source, instant now, std::size_t max_records) {
    const auto batch = source.records_for(*this, max_records);
    return batch && append(batch->term, batch->from, batch->records, batch->terms, now);
}

bool endpoint_model::append(term_number term, log_position from,
                            std::span<const log_record> records, const term_history& terms,
                            instant now) {
    if (term != m_term || m_role != endpoint_role::replica || from > m_log.size()) {
        return false;
    }
    truncate(from);
    for (const log_record& record : records) {
        for (const std::string& statement : record.statements) {
            apply(statement);
        }
        m_log.push_back(record);
    }
    m_terms = terms;
    m_primary_contact_at = now;
    return true;
}

void endpoint_model::crash() {
    m_connections.clear();
}

}  // namespace jasminelead::support
