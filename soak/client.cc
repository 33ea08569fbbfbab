#include "soak/client.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <mutex>
#include <random>
#include <string_view>

#include "soak/clock.h"

namespace jasminelead::soak {
namespace {

// A client closes its session if the first answer takes longer.
constexpr double startup_timeout_ms = 2000;
constexpr std::uint64_t id_seed = 20261204;
constexpr std::array<std::string_view, 6> promises{"BUSY",     "ABORTED",   "LAGGING",
                                                   "READONLY", "WRONGNODE", "MAXCONN"};

struct probe_table {
    std::mutex lock;
    std::map<std::string, std::string> texts;
};

probe_table& probes() {
    static probe_table table;
    return table;
}

}  // namespace

bool answer::ok() const {
    return complete && !signature().empty();
}

std::string answer::text() const {
    std::string all;
    for (const std::string& line : lines) {
        all += line + " | ";
    }
    return complete ? all : all + "(connection ended or no answer)";
}

std::string answer::code() const {
    for (const std::string& line : lines) {
        if (line.starts_with("ERROR ")) {
            return line.substr(6, line.find(' ', 6) - 6);
        }
    }
    return "";
}

bool answer::is_promise() const {
    return std::find(promises.begin(), promises.end(), code()) != promises.end();
}

std::string answer::signature() const {
    for (const std::string& line : lines) {
        if (line.starts_with("DONE ")) {
            return line.substr(5);
        }
    }
    return "";
}

std::string answer::rows() const {
    std::string all;
    for (const std::string& line : lines) {
        if (line.starts_with("ROW ")) {
            all += line + "\r\n";
        }
    }
    return all;
}

char answer::state() const {
    return complete && lines.back().size() > 6 ? lines.back()[6] : '-';
}

std::string new_id() {
    static std::mutex lock;
    static std::mt19937_64 random{id_seed};
    const std::lock_guard guard{lock};
    std::array<char, 20> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

std::string probe_text(const std::string& id) {
    const std::lock_guard lock{probes().lock};
    const auto found = probes().texts.find(id);
    return found == probes().texts.end() ? "" : found->second;
}

client::client(std::uint16_t port, const std::string& database, const std::string& key)
    : m_fd{connect_to(port)}, m_in{m_fd} {
    m_first = exchange("STARTUP " + database + " " + key + "\r\n", startup_timeout_ms);
}

client::~client() {
    if (m_fd >= 0) {
        ::close(m_fd);
    }
}

bool client::is_started() const {
    return m_first.complete && m_first.lines.back() == "READY I -";
}

answer client::query(const std::string& text, double timeout_ms) {
    const std::string id = new_id();
    {
        const std::lock_guard lock{probes().lock};
        probes().texts[id] = text;
    }
    return query_as(id, text, timeout_ms);
}

answer client::query_as(const std::string& id, const std::string& text, double timeout_ms) {
    note("send " + id + " " + shown(text));
    answer result = exchange("QUERY " + id + " " + text + "\r\n", timeout_ms);
    note("answer " + id + " " + result.text());
    return result;
}

answer client::read_answer(double timeout_ms) {
    answer result;
    result.sent = now_ms();
    collect(result, timeout_ms);
    return result;
}

answer client::exchange(const std::string& bytes, double timeout_ms) {
    answer result;
    result.sent = now_ms();
    if (m_fd >= 0 && send_all(m_fd, bytes)) {
        collect(result, timeout_ms);
    }
    return result;
}

void client::collect(answer& result, double timeout_ms) {
    const double deadline = now_ms() + timeout_ms;
    while (const auto line = m_in.until("\r\n", deadline)) {
        result.lines.push_back(*line);
        if (line->starts_with("READY")) {
            result.complete = true;
            break;
        }
    }
    result.received = now_ms();
}

}  // namespace jasminelead::soak
