#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "soak/sockets.h"

/// Stand-in for the users' clients.
namespace jasminelead::soak {

struct answer {
    std::vector<std::string> lines;
    bool complete = false;
    double sent = 0;
    double received = 0;
    [[nodiscard]] bool ok() const;
    [[nodiscard]] std::string text() const;
    /// The code after ERROR; empty when there is none.
    [[nodiscard]] std::string code() const;
    /// Codes that promise that nothing is kept.
    [[nodiscard]] bool is_promise() const;
    [[nodiscard]] std::string signature() const;
    /// All ROW lines, each with its end.
    [[nodiscard]] std::string rows() const;
    /// I, T or E; '-' without a complete answer.
    [[nodiscard]] char state() const;
};

std::string new_id();
/// The text that a client sent by itself, beside the operations of a workload; empty if none did.
std::string probe_text(const std::string& id);

/// One session.
class client {
public:
    client(std::uint16_t port, const std::string& database, const std::string& key = "user1");
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    ~client();
    [[nodiscard]] bool is_started() const;
    [[nodiscard]] const answer& first() const { return m_first; }
    /// Sends a statement and waits for its answer.
    answer query(const std::string& text, double timeout_ms = 6000);
    answer query_as(const std::string& id, const std::string& text, double timeout_ms = 6000);
    /// Reads one more answer, without sending anything.
    answer read_answer(double timeout_ms);

private:
    answer exchange(const std::string& bytes, double timeout_ms);
    void collect(answer& result, double timeout_ms);

    int m_fd;
    stream_reader m_in;
    answer m_first;
};

}  // namespace jasminelead::soak
