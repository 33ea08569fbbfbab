#include "soak/workload.h"

#include <algorithm>

#include "soak/clock.h"

namespace jasminelead::soak {
namespace {

constexpr int max_tries = 3;
constexpr double statement_timeout_ms = 3000;
constexpr double reopen_pause_ms = 100;
constexpr double retry_pause_ms = 60;
constexpr double longest_think_ms = 40;
constexpr int items = 30;
constexpr int max_transaction_length = 5;
constexpr double rollback_share = 0.1;
constexpr double short_session_share = 0.02;

double share(std::mt19937& random) {
    return std::uniform_real_distribution<>{0, 1}(random);
}

bool is_write(const std::string& text) {
    return text.starts_with("WRITE") || text.starts_with("EXECUTE WRITE");
}

/// What the instance shows for a prepared statement: its kind and shape in place of its name.
std::string as_run(const std::string& text, const std::string& read_name,
                   const std::string& write_name) {
    const std::string read = "EXECUTE " + read_name + " ";
    const std::string write = "EXECUTE " + write_name + " ";
    if (text.starts_with(read)) {
        return "EXECUTE READ shape-" + read_name + " " + text.substr(read.size());
    }
    if (text.starts_with(write)) {
        return "EXECUTE WRITE shape-" + write_name + " " + text.substr(write.size());
    }
    return text;
}

}  // namespace

bool may_retry(const attempt_record& attempt) {
    if (attempt.outcome != attempt_outcome::unknown) {
        return attempt.outcome == attempt_outcome::promised;
    }
    const auto& sent = attempt.statements;
    const bool is_single_write = sent.size() == 1 && is_write(sent.front().text);
    return !is_single_write && (sent.empty() || sent.back().text != "COMMIT");
}

workload::workload(deployment& all, load_settings load, unsigned seed)
    : m_all{all}, m_load{load}, m_seed{seed} {}

void workload::start() {
    for (std::size_t i = 0; i < m_load.clients; ++i) {
        m_threads.emplace_back([this, i] { run_client(i, forever); });
    }
}

void workload::burst(std::size_t clients, double length_ms) {
    const double end = now_ms() + length_ms;
    const std::lock_guard lock{m_lock};
    for (std::size_t i = 0; i < clients; ++i) {
        const std::size_t number = m_load.clients + m_extra++;
        m_threads.emplace_back([this, number, end] { run_client(number, end); });
    }
}

void workload::stop() {
    m_running = false;
    for (std::thread& item : m_threads) {
        item.join();
    }
    m_threads.clear();
}

std::vector<attempt_record> workload::attempts() {
    const std::lock_guard lock{m_lock};
    return m_attempts;
}

void workload::run_client(std::size_t number, double end) {
    random_source random{m_seed * 1000003U + static_cast<unsigned>(number)};
    const route& used = m_all.routes[number % m_all.routes.size()];
    session_state session;
    session.client_number = number;
    while (m_running && now_ms() < end) {
        if (session.link == nullptr && !open(session, used, random)) {
            sleep_ms(reopen_pause_ms);
            continue;
        }
        play_operation(session, used, random);
        if (share(random) < short_session_share) {
            session.link.reset();
        }
        sleep_ms(m_pause_factor * std::exponential_distribution<>{1 / m_load.pause_ms}(random));
    }
}

/// Opens a session at any daemon; one that cannot be reached is left out next time by chance.
bool workload::open(session_state& session, const route& used, random_source& random) {
    const daemon_process& daemon = m_all.daemons[random() % m_all.daemons.size()];
    session.owner = m_all.account_of(session.client_number);
    session.link = std::make_unique<client>(daemon.front, used.database, session.owner.key());
    session.host = daemon.host;
    session.number = ++m_sessions;
    session.prepared_read.clear();
    session.prepared_write.clear();
    if (!session.link->is_started() || !prepare(session, used, random)) {
        session.link.reset();
        return false;
    }
    return true;
}

bool workload::prepare(session_state& session, const route& used, random_source& random) {
    if (share(random) >= m_load.prepared_share) {
        return true;
    }
    // The names collide between clients, and their shapes differ.
    const std::string suffix = std::to_string(random() % 3);
    session.prepared_read = "r" + suffix;
    if (!session.link->query("PREPARE r" + suffix + " READ shape-r" + suffix).ok()) {
        return false;
    }
    if (used.type == "bounded_stale") {
        return true;
    }
    session.prepared_write = "w" + suffix;
    return session.link->query("PREPARE w" + suffix + " WRITE shape-w" + suffix).ok();
}

std::string workload::make_statement(const session_state& session, bool writes, bool may_prepare,
                                     random_source& random) const {
    const std::string& name = writes ? session.prepared_write : session.prepared_read;
    const std::string item = "k" + std::to_string(random() % items);
    const std::string verb =
        may_prepare && !name.empty() ? "EXECUTE " + name : (writes ? "WRITE" : "READ");
    return verb + " " + item + (writes ? " d" + std::to_string(random()) : "");
}

std::vector<std::string> workload::make_operation(const session_state& session, const route& used,
                                                  random_source& random) const {
    const bool may_write = used.type != "bounded_stale";
    const double kind = share(random);
    const bool prepared = !session.prepared_read.empty() && share(random) < 0.5;
    if (kind >= m_load.transaction_share) {
        const bool writes = may_write && kind < m_load.transaction_share + m_load.write_share;
        return {make_statement(session, writes, prepared, random)};
    }
    std::vector<std::string> texts{may_write ? "BEGIN" : "BEGIN READ"};
    const auto length = 1 + random() % max_transaction_length;
    for (std::size_t i = 0; i < length; ++i) {
        texts.push_back(make_statement(session, may_write && random() % 2 == 0, prepared, random));
    }
    texts.emplace_back(share(random) < rollback_share ? "ROLLBACK" : "COMMIT");
    return texts;
}

void workload::play_operation(session_state& session, const route& used, random_source& random) {
    const auto texts = make_operation(session, used, random);
    for (int tries = 0; tries < max_tries; ++tries) {
        const bool is_new = session.link == nullptr;
        const bool is_prepared = std::any_of(texts.begin(), texts.end(), [](const auto& text) {
            return text.starts_with("EXECUTE");
        });
        if (is_new && (!m_running || is_prepared || !open(session, used, random))) {
            return;
        }
        attempt_record attempt =
            play_attempt(session, used, texts, share(random) * longest_think_ms);
        const bool retries = may_retry(attempt);
        {
            const std::lock_guard lock{m_lock};
            m_attempts.push_back(std::move(attempt));
        }
        if (!retries) {
            return;
        }
        sleep_ms(retry_pause_ms);
    }
}

attempt_record workload::play_attempt(session_state& session, const route& used,
                                      const std::vector<std::string>& texts, double pause_ms) {
    attempt_record attempt;
    attempt.session = session.number;
    attempt.host = session.host;
    attempt.account = session.owner.name;
    attempt.key = session.owner.key();
    attempt.route_type = used.type;
    attempt.max_stale_ms = used.max_stale_ms;
    answer last;
    for (const std::string& text : texts) {
        if (!attempt.statements.empty()) {
            sleep_ms(pause_ms);
        }
        const std::string id = new_id();
        last = session.link->query_as(id, text, statement_timeout_ms);
        attempt.statements.push_back(
            {id, as_run(text, session.prepared_read, session.prepared_write), last.sent,
             last.received, last.ok(), last.signature(), last.rows()});
        if (!last.ok()) {
            break;
        }
    }
    attempt.outcome = last.ok()                            ? attempt_outcome::done
                      : last.complete && last.is_promise() ? attempt_outcome::promised
                                                           : attempt_outcome::unknown;
    if (last.state() == 'T' || last.state() == 'E') {
        last = session.link->query("ROLLBACK", statement_timeout_ms);
    }
    if (last.state() != 'I') {
        session.link.reset();
    }
    return attempt;
}

}  // namespace jasminelead::soak
