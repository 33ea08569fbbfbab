#include "soak/log_excerpt.h"

#include <time.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <string_view>

#include "soak/clock.h"

namespace jasminelead::soak {
namespace {

constexpr double before_ms = 3000;
constexpr double after_ms = 1500;
constexpr std::array<std::string_view, 6> daemon_events{
    "replacement_due",     "failover",          "endpoint_status", "primary_record",
    "primary_use_stopped", "successor_diverged"};
constexpr std::array<std::string_view, 9> record_words{" fault ",    " promote ",    " promoted ",
                                                       " stepdown ", " steps down ", " no effect",
                                                       " crash ",    " restart ",    " signal "};

/// From the clock of the record to the one of the daemons' logs, which counts from the boot.
double boot_offset_ms() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6 -
           now_ms();
}

using lines = std::multimap<double, std::string>;

void add_record(lines& result, const std::string& path, const violation& item) {
    std::ifstream file{path};
    for (std::string line; std::getline(file, line);) {
        const double at = std::strtod(line.c_str(), nullptr);
        const bool is_known = std::any_of(record_words.begin(), record_words.end(), [&](auto word) {
            return line.find(word) != std::string::npos;
        });
        const bool is_own = line.find(item.id) != std::string::npos;
        if (at > item.at - before_ms && at < item.at + after_ms && (is_known || is_own)) {
            result.emplace(at, "record " + line.substr(std::min<std::size_t>(11, line.size())));
        }
    }
}

void add_daemon_log(lines& result, const std::filesystem::path& path, const violation& item,
                    double offset) {
    static constexpr std::string_view time_mark = "\"at_ms\":";
    const std::string group = "\"group\":\"" + item.group + "\"";
    std::ifstream file{path};
    for (std::string line; std::getline(file, line);) {
        const std::size_t mark = line.find(time_mark);
        if (mark == std::string::npos || line.find(group) == std::string::npos) {
            continue;
        }
        const double at = std::strtod(line.c_str() + mark + time_mark.size(), nullptr) - offset;
        const bool is_event =
            std::any_of(daemon_events.begin(), daemon_events.end(), [&](auto event) {
                return line.find("\"event\":\"" + std::string{event}) != std::string::npos;
            });
        const bool is_own = line.find(item.id) != std::string::npos;
        if (at > item.at - before_ms && at < item.at + after_ms && (is_event || is_own)) {
            result.emplace(at, path.stem().string() + " " + line);
        }
    }
}

}  // namespace

void write_excerpts(const std::string& folder, const std::vector<violation>& found) {
    flush_record();
    const double offset = boot_offset_ms();
    std::set<std::string> written;
    for (const violation& item : found) {
        if (item.rule != "ONE" || item.id.empty() || !written.insert(item.group).second) {
            continue;
        }
        lines result;
        add_record(result, folder + "/record.txt", item);
        for (const auto& entry : std::filesystem::directory_iterator{folder}) {
            if (entry.path().extension() == ".log") {
                add_daemon_log(result, entry.path(), item, offset);
            }
        }
        std::ofstream file{folder + "/excerpt-" + item.group + ".txt"};
        file << item.rule << " " << item.text << '\n';
        for (const auto& [at, line] : result) {
            file << static_cast<long long>(at) << " " << line << '\n';
        }
    }
}

}  // namespace jasminelead::soak
