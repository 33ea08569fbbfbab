#include "proxy/statement_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace jasminelead::proxy {
namespace {

/// Different sessions may use one name for different prepared statements. On shared connections a
/// statement is therefore named by a hash of its shape.
std::string name_from_shape(const prepared_statement& prepared) {
    const auto hash = XXH64(prepared.shape.data(), prepared.shape.size(), 0);
    std::array<char, 24> text{};
    const char kind = prepared.kind == access::read ? 'r' : 'w';
    std::snprintf(text.data(), text.size(), "%c%016llx", kind,
                  static_cast<unsigned long long>(hash));
    return text.data();
}

bool has_values_of_other_session(const connection_state& state, const session_data& session) {
    return std::any_of(state.values.begin(), state.values.end(), [&session](const auto& value) {
        return !session.values.contains(value.first);
    });
}

struct query_batch {
    std::string bytes;
    std::size_t preparations = 0;  ///< Number of queries before the statement.

    void add_preparation(std::string_view text) {
        platform::encode_query(bytes, platform::internal_statement_id(), text);
        ++preparations;
    }
};

void restore_values(query_batch& batch, connection_state& state, const session_data& session,
                    bool in_transaction) {
    if (!in_transaction && has_values_of_other_session(state, session)) {
        batch.add_preparation(platform::reset_text());
        state = connection_state{};
    }
    for (const auto& [name, value] : session.values) {
        const auto known = state.values.find(name);
        if (known == state.values.end() || known->second != value) {
            batch.add_preparation(platform::set_text(name, value));
            state.values[name] = value;
        }
    }
}

std::string statement_text(query_batch& batch, connection_state& state,
                           const forwarded_statement& statement) {
    if (!statement.prepared) {
        return statement.text;
    }
    const std::string name = name_from_shape(*statement.prepared);
    if (state.prepared.insert(name).second) {
        batch.add_preparation(
            platform::prepare_text(name, statement.prepared->kind, statement.prepared->shape));
    }
    return platform::execute_text(name, statement.arguments);
}

}  // namespace

std::variant<endpoint_answer, connection_fault> run_statement(
    endpoint_connection& link, const session_data& session, const forwarded_statement& statement,
    const std::optional<log_point>& after, bool in_transaction, steady_time deadline) {
    query_batch batch;
    restore_values(batch, link.state(), session, in_transaction);
    const std::string text = statement_text(batch, link.state(), statement);
    if (after) {
        platform::encode_query_after(batch.bytes, statement.id, *after, text);
    } else {
        platform::encode_query(batch.bytes, statement.id, text);
    }
    if (const auto fault = link.send(batch.bytes, deadline)) {
        return *fault;
    }
    for (std::size_t i = 0; i < batch.preparations; ++i) {
        const auto prepared = link.receive(deadline);
        if (const auto* const fault = std::get_if<connection_fault>(&prepared)) {
            return *fault;
        }
        if (std::get<endpoint_answer>(prepared).fault) {
            link.reset();
            return connection_fault::protocol;
        }
    }
    auto answer = link.receive(deadline);
    if (auto* const received = std::get_if<endpoint_answer>(&answer)) {
        if (received->fault == statement_fault::unknown_prepared) {
            link.state().prepared.clear();
        }
    }
    return answer;
}

bool is_alive(endpoint_connection& link, steady_time deadline) {
    std::string query;
    platform::encode_query(query, platform::internal_statement_id(), platform::reset_text());
    const auto answer = link.exchange(query, deadline);
    const auto* const received = std::get_if<endpoint_answer>(&answer);
    if (received == nullptr || received->fault) {
        return false;
    }
    link.state() = connection_state{};
    return true;
}

}  // namespace jasminelead::proxy
