#include "proxy/account_usage.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "proxy/event_log.h"

namespace jasminelead::proxy {
namespace {

// Accounts above this number share one counter and are left out of the log line, so that neither
// grows with the configuration.
constexpr std::size_t max_counted_accounts = 200;
constexpr std::size_t max_logged_accounts = 24;
const account_id other_accounts{"other"};

}  // namespace

void account_usage::on_statement(const account_id& account, bool begins_operation) {
    if (account.empty()) {
        return;
    }
    const bool is_counted =
        m_counts.size() < max_counted_accounts || m_counts.find(account) != m_counts.end();
    const account_id& label = is_counted ? account : other_accounts;
    counts& sent = m_counts[label];
    ++sent.statements;
    m_counters.count("account_statements", label.str());
    if (begins_operation) {
        ++sent.operations;
        m_counters.count("account_operations", label.str());
    }
}

void account_usage::log_counts() {
    std::vector<std::pair<account_id, counts>> active;
    for (auto& [account, sent] : m_counts) {
        if (sent.statements > 0) {
            active.emplace_back(account, std::exchange(sent, {}));
        }
    }
    if (active.empty()) {
        return;
    }
    const std::size_t logged = std::min(active.size(), max_logged_accounts);
    std::partial_sort(
        active.begin(), active.begin() + static_cast<std::ptrdiff_t>(logged), active.end(),
        [](const auto& a, const auto& b) { return a.second.statements > b.second.statements; });
    std::string text;
    for (std::size_t i = 0; i < logged; ++i) {
        const auto& [account, sent] = active[i];
        text.append(text.empty() ? "" : " ").append(account.str()).append("=");
        text.append(std::to_string(sent.operations)).append("/");
        text.append(std::to_string(sent.statements));
    }
    log_line{log_class::change, "account_usage"}
        .with("operations_and_statements", text)
        .with("not_listed", std::uint64_t{active.size() - logged})
        .write();
}

}  // namespace jasminelead::proxy
