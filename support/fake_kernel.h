#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jasminelead/core_kernel.h"

/// A kernel without logic of its own, for tests and benchmarks of the daemon's adapters.
namespace jasminelead::support {

/// Replies to every caller request and completes a drain immediately.
class fake_kernel : public core_kernel {
public:
    /// Number of requests that the kernel has received; read by other threads.
    using request_counter = std::shared_ptr<std::atomic<std::size_t>>;

    explicit fake_kernel(request_counter received = std::make_shared<std::atomic<std::size_t>>(0))
        : m_received{std::move(received)} {}

    void handle(event input, instant /*now*/, action_list& out) override {
        if (auto* const request = std::get_if<caller_request>(&input)) {
            answer(*request, out);
        }
        if (std::holds_alternative<drain_requested>(input)) {
            release(out);
            out.emplace_back(drain_finished{});
        }
    }
    [[nodiscard]] std::optional<instant> next_wakeup() const override { return std::nullopt; }
    [[nodiscard]] bool ready() const override { return true; }
    [[nodiscard]] std::string status_json() const override { return "{}"; }
    [[nodiscard]] std::string explain_json(std::string_view session) const override {
        return "\"" + std::string{session} + "\"";
    }

private:
    /// A request with the text "hold" gets its reply when one with the text "release" arrives.
    /// Replies to held requests are sent in reverse order.
    void answer(const caller_request& request, action_list& out) {
        ++*m_received;
        if (request.text == "hold") {
            m_held.push_back(request.id);
            return;
        }
        if (request.text == "release") {
            release(out);
        }
        out.emplace_back(caller_reply{request.id, done{R"({"value":"1"})"}, "token", {}, {}});
    }
    void release(action_list& out) {
        while (!m_held.empty()) {
            out.emplace_back(caller_reply{m_held.back(), done{"1"}, {}, {}, {}});
            m_held.pop_back();
        }
    }

    request_counter m_received;
    std::vector<request_id> m_held;
};

}  // namespace jasminelead::support
