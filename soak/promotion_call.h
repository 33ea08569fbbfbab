#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "soak/http.h"
#include "soak/service.h"

/// Stand-in for the platform's call that promotes an instance.
namespace jasminelead::soak {

/// How the platform treats the calls; the shares are of all calls.
struct promotion_trouble {
    double answer_ms = 0;         ///< From the call to its answer, at most.
    double effect_ms = 0;         ///< From the call to its effect beyond the usual, at most.
    double unanswered_share = 0;  ///< Executed, never answered.
    double refused_share = 0;     ///< 429 or 503, not executed.
};

/// A call as the platform received it.
struct promotion_record {
    double at = 0;
    std::string caller;
    std::string service;
    std::string instance;
    std::string holder;
    std::uint64_t token = 0;
    int status = 0;  ///< 0: never answered.
    double answered = 0;
    double effect = 0;  ///< When it takes effect; 0: never.
};

class promotion_call {
public:
    using service_finder = std::function<service*(const std::string& name)>;
    promotion_call(service_finder find, unsigned seed);

    /// An address at which one daemon reaches the platform.
    std::uint16_t add_caller(const std::string& host);
    void set_trouble(const promotion_trouble& trouble);
    /// The calls of this host get no answer and are not executed.
    void set_cut(const std::string& host, bool is_cut);
    std::vector<promotion_record> calls();

private:
    http_answer answer(const std::string& caller, const http_request& request);
    double up_to(double most);

    service_finder m_find;
    std::mutex m_lock;
    std::minstd_rand m_random;
    promotion_trouble m_trouble;
    std::vector<std::string> m_cut;
    std::vector<promotion_record> m_calls;
    std::vector<std::unique_ptr<http_listener>> m_listeners;
};

}  // namespace jasminelead::soak
