#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminelead/limit_shares.h"

/// Messages by which hosts count operations of accounts and lend shares of their limits.
namespace jasminelead::proxy {

/// Operations that a host wants to start.
struct take_request {
    account_id account;
    std::uint32_t wanted = 0;
};

struct take_answer {
    account_id account;
    account_limiter::decision decision;
};

struct loans_request {
    share_borrower borrower;
    std::vector<loan_request> accounts;
};

struct loan_answer {
    account_id account;
    share_loan loan;
};

std::string encode_take_request(const std::vector<take_request>& rows);
std::optional<std::vector<take_request>> decode_take_request(std::string_view text);
std::string encode_take_answer(const std::vector<take_answer>& rows);
std::optional<std::vector<take_answer>> decode_take_answer(std::string_view text);
std::string encode_loans_request(const loans_request& request);
std::optional<loans_request> decode_loans_request(std::string_view text);
std::string encode_loans_answer(const std::vector<loan_answer>& rows);
std::optional<std::vector<loan_answer>> decode_loans_answer(std::string_view text);

}  // namespace jasminelead::proxy
