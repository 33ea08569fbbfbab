#include "proxy/limit_messages.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <utility>

#include "proxy/json_fields.h"

namespace jasminelead::proxy {
namespace {

namespace json = boost::json;

// Between data centres every byte is paid for.
constexpr double shares_per_unit = 1e6;
constexpr double tokens_per_unit = 1e3;
constexpr double demands_per_unit = 1e2;
constexpr double max_units = 1e12;

/// Numbers are sent as whole multiples of a unit, rounded down.
std::int64_t to_units(double value, double units) {
    return static_cast<std::int64_t>(std::min(std::max(value, 0.0) * units, max_units));
}

/// One row: the account's name, and one or two whole numbers that are not negative.
struct row {
    account_id account;
    double first = 0;
    double second = 0;
};

std::optional<double> number_at(const json::array& fields, std::size_t index) {
    if (index >= fields.size() || !fields[index].is_number()) {
        return std::nullopt;
    }
    const auto number = fields[index].to_number<double>();
    return number >= 0 && number <= max_units ? std::optional{number} : std::nullopt;
}

std::optional<std::vector<row>> decode_rows(const json::value* list, std::size_t numbers) {
    if (list == nullptr || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<row> rows;
    for (const json::value& item : list->get_array()) {
        const json::array* const fields = item.if_array();
        if (fields == nullptr || fields->size() != numbers + 1 || !fields->front().is_string()) {
            return std::nullopt;
        }
        const auto first = number_at(*fields, 1);
        const auto second = numbers > 1 ? number_at(*fields, 2) : std::optional{0.0};
        if (!first || !second) {
            return std::nullopt;
        }
        rows.push_back({account_id{std::string{fields->front().get_string()}}, *first, *second});
    }
    return rows;
}

std::optional<std::vector<row>> decode_rows(std::string_view text, std::size_t numbers) {
    const auto object = parse_object(text);
    return object ? decode_rows(object->if_contains("accounts"), numbers) : std::nullopt;
}

std::string encode_rows(json::array rows) {
    return json::serialize(json::object{{"accounts", std::move(rows)}});
}

}  // namespace

std::string encode_take_request(const std::vector<take_request>& rows) {
    json::array list;
    for (const take_request& wanted : rows) {
        list.push_back(json::array{wanted.account.str(), wanted.wanted});
    }
    return encode_rows(std::move(list));
}

std::optional<std::vector<take_request>> decode_take_request(std::string_view text) {
    const auto rows = decode_rows(text, 1);
    if (!rows) {
        return std::nullopt;
    }
    std::vector<take_request> result;
    for (const row& item : *rows) {
        constexpr double max_wanted = 1e6;
        if (item.first > max_wanted) {
            return std::nullopt;
        }
        result.push_back({item.account, static_cast<std::uint32_t>(item.first)});
    }
    return result;
}

std::string encode_take_answer(const std::vector<take_answer>& rows) {
    json::array list;
    for (const take_answer& answer : rows) {
        list.push_back(json::array{answer.account.str(), answer.decision.granted,
                                   answer.decision.retry_after.us()});
    }
    return encode_rows(std::move(list));
}

std::optional<std::vector<take_answer>> decode_take_answer(std::string_view text) {
    const auto rows = decode_rows(text, 2);
    if (!rows) {
        return std::nullopt;
    }
    std::vector<take_answer> result;
    for (const row& item : *rows) {
        result.push_back({item.account,
                          {static_cast<std::uint32_t>(item.first),
                           duration::from_us(static_cast<std::int64_t>(item.second))}});
    }
    return result;
}

std::string encode_loans_request(const loans_request& request) {
    json::array list;
    for (const loan_request& wanted : request.accounts) {
        list.push_back(
            json::array{wanted.account.str(), to_units(wanted.demand_per_s, demands_per_unit)});
    }
    return json::serialize(json::object{{"host", request.borrower.host.str()},
                                        {"data_centre", request.borrower.data_centre.str()},
                                        {"accounts", std::move(list)}});
}

std::optional<loans_request> decode_loans_request(std::string_view text) {
    const auto object = parse_object(text);
    if (!object) {
        return std::nullopt;
    }
    const auto host = text_of(*object, "host");
    const auto data_centre = text_of(*object, "data_centre");
    const auto rows = decode_rows(object->if_contains("accounts"), 1);
    if (!host || host->empty() || !data_centre || !rows) {
        return std::nullopt;
    }
    loans_request result{{host_id{*host}, data_centre_id{*data_centre}}, {}};
    for (const row& item : *rows) {
        result.accounts.push_back({item.account, item.first / demands_per_unit});
    }
    return result;
}

std::string encode_loans_answer(const std::vector<loan_answer>& rows) {
    json::array list;
    for (const loan_answer& answer : rows) {
        list.push_back(json::array{answer.account.str(),
                                   to_units(answer.loan.share, shares_per_unit),
                                   to_units(answer.loan.tokens, tokens_per_unit)});
    }
    return encode_rows(std::move(list));
}

std::optional<std::vector<loan_answer>> decode_loans_answer(std::string_view text) {
    const auto rows = decode_rows(text, 2);
    if (!rows) {
        return std::nullopt;
    }
    std::vector<loan_answer> result;
    for (const row& item : *rows) {
        if (item.first > shares_per_unit) {
            return std::nullopt;
        }
        result.push_back(
            {item.account, {item.first / shares_per_unit, item.second / tokens_per_unit}});
    }
    return result;
}

}  // namespace jasminelead::proxy
