#include "jasminelead/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace jasminelead {
namespace {

constexpr std::array<std::string_view, promise_count> names = {
    "read_your_writes", "superseded_ack",   "transaction_isolation", "answer_integrity",
    "not_run_truth",    "at_most_once",     "leaving_endpoint",      "graceful_shutdown",
    "config_monotonic", "connection_limit",
};

}  // namespace

std::string_view to_string(promise which) {
    return names.at(static_cast<std::size_t>(which));
}

bool invariants::check(promise which, bool holds) {
    if (holds) {
        return true;
    }
    m_broken.at(static_cast<std::size_t>(which)).fetch_add(1, std::memory_order_relaxed);
    if (m_strict) {
        const std::string_view name = to_string(which);
        std::fprintf(stderr, "invariant broken: %.*s\n", static_cast<int>(name.size()),
                     name.data());
        std::abort();
    }
    return false;
}

std::uint64_t invariants::broken(promise which) const {
    return m_broken.at(static_cast<std::size_t>(which)).load(std::memory_order_relaxed);
}

std::uint64_t invariants::broken_total() const {
    std::uint64_t total = 0;
    for (const auto& counter : m_broken) {
        total += counter.load(std::memory_order_relaxed);
    }
    return total;
}

}  // namespace jasminelead
