#include "totals_command.h"

#include <ostream>

#include "jasminelead/totals.h"
#include "printing.h"

namespace jasminelead::ctl {
namespace {

std::string replica_percent_text(const request_counts& counts) {
    if (counts.reads == 0) {
        return "-";
    }
    constexpr std::uint64_t tenths_of_percent = 1000;
    const std::uint64_t tenths = counts.replica_reads * tenths_of_percent / counts.reads;
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

text_row row_of(const std::string& group, const std::string& service,
                const request_counts& counts) {
    return {group,
            service,
            std::to_string(counts.done),
            std::to_string(counts.not_run),
            std::to_string(counts.unknown),
            std::to_string(counts.reads),
            std::to_string(counts.replica_reads),
            replica_percent_text(counts)};
}

}  // namespace

bool is_day(std::string_view text) {
    constexpr std::string_view pattern = "dddd-dd-dd";
    if (text.size() != pattern.size()) {
        return false;
    }
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        const bool digit = text[i] >= '0' && text[i] <= '9';
        if (pattern[i] == 'd' ? !digit : text[i] != '-') {
            return false;
        }
    }
    return true;
}

exit_code print_totals(const arguments& values, const std::vector<store_entry>& entries,
                       std::ostream& out, std::ostream& errors) {
    day_counts sums;
    request_counts all;
    exit_code code = success;
    for (const store_entry& entry : entries) {
        const auto counts = parse_totals(entry.value);
        if (!counts) {
            errors << "jasminelead-ctl: " << entry.key << " is malformed and missing in the sums\n";
            code = failure;
            continue;
        }
        for (const auto& [key, value] : *counts) {
            sums[key] += value;
            all += value;
        }
    }
    std::vector<text_row> rows = {{"group", "service", "done", "not_run", "unknown", "reads",
                                   "replica_reads", "replica_percent"}};
    for (const auto& [key, value] : sums) {
        rows.push_back(row_of(key.group.str(), key.service.str(), value));
    }
    if (values.json) {
        out << rows_as_json(rows);
    } else if (values.csv) {
        out << write_csv(rows);
    } else {
        rows.push_back(row_of("all", "", all));
        out << aligned_text(rows);
    }
    return code;
}

}  // namespace jasminelead::ctl
