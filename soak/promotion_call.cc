#include "soak/promotion_call.h"

#include <algorithm>
#include <boost/json.hpp>
#include <thread>

#include "soak/clock.h"
#include "soak/instance.h"

namespace jasminelead::soak {
namespace {

constexpr int busy_status = 503;
constexpr int limited_status = 429;
constexpr int not_running_status = 409;
constexpr int ok_status = 200;

std::string header(const http_request& request, const char* name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string{} : found->second;
}

}  // namespace

promotion_call::promotion_call(service_finder find, unsigned seed)
    : m_find{std::move(find)}, m_random{seed + 1} {}

std::uint16_t promotion_call::add_caller(const std::string& host) {
    m_listeners.push_back(std::make_unique<http_listener>(
        [this, host](const http_request& request) { return answer(host, request); }));
    return m_listeners.back()->port();
}

void promotion_call::set_trouble(const promotion_trouble& trouble) {
    const std::lock_guard lock{m_lock};
    m_trouble = trouble;
}

void promotion_call::set_cut(const std::string& host, bool is_cut) {
    const std::lock_guard lock{m_lock};
    std::erase(m_cut, host);
    if (is_cut) {
        m_cut.push_back(host);
    }
}

std::vector<promotion_record> promotion_call::calls() {
    const std::lock_guard lock{m_lock};
    return m_calls;
}

double promotion_call::up_to(double most) {
    return std::uniform_real_distribution<>{0, 1}(m_random)*most;
}

http_answer promotion_call::answer(const std::string& caller, const http_request& request) {
    const auto body = boost::json::parse(request.body);
    promotion_record call;
    call.at = now_ms();
    call.caller = caller;
    call.service = body.at("service").as_string();
    call.instance = body.at("id").as_string();
    call.holder = header(request, "x-lease-holder");
    call.token = std::stoull("0" + header(request, "x-fence-token"));
    service* const group = m_find(call.service);
    instance* const successor = group == nullptr ? nullptr : group->find(call.instance);
    std::unique_lock lock{m_lock};
    if (std::find(m_cut.begin(), m_cut.end(), caller) != m_cut.end()) {
        note("promote " + call.instance + " by " + call.holder + " is lost on a cut link");
        return {0, "", answer_fate::silent};
    }
    const bool is_refused = up_to(1) < m_trouble.refused_share;
    const bool is_unanswered = up_to(1) < m_trouble.unanswered_share;
    const double answer_ms = up_to(m_trouble.answer_ms);
    const double effect_ms = up_to(m_trouble.effect_ms);
    call.status = is_refused             ? (m_random() % 2 == 0 ? busy_status : limited_status)
                  : successor == nullptr ? not_running_status
                                         : ok_status;
    if (call.status == ok_status) {
        call.effect = call.at + group->promote_ms + effect_ms;
        std::thread{[group, successor, effect = call.effect] {
            sleep_ms(effect - now_ms());
            group->promote(*successor);
        }}.detach();
    }
    const int status = call.status;
    call.status = is_unanswered ? 0 : status;
    call.answered = call.at + answer_ms;
    m_calls.push_back(call);
    note("promote " + call.instance + " by " + call.holder + " token " +
         std::to_string(call.token) + " from " + caller + " status " + std::to_string(status) +
         (is_unanswered ? " unanswered" : " answered at " + std::to_string(call.answered)) +
         " effect at " + std::to_string(call.effect));
    lock.unlock();
    sleep_ms(answer_ms);
    return {status, "{}", is_unanswered ? answer_fate::silent : answer_fate::sent};
}

}  // namespace jasminelead::soak
