#include "soak/clock.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <thread>

namespace jasminelead::soak {
namespace {

// A process that is killed loses at most the lines of this time.
constexpr double flush_interval_ms = 100;

struct record_file {
    std::mutex lock;
    std::ofstream file;
    double flushed = 0;
};

record_file& the_record() {
    static record_file record;
    return record;
}

const std::chrono::steady_clock::time_point start_time = std::chrono::steady_clock::now();

}  // namespace

double now_ms() {
    const auto passed = std::chrono::steady_clock::now() - start_time;
    return std::chrono::duration<double, std::milli>(passed).count();
}

void sleep_ms(double ms) {
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
    }
}

std::int64_t unix_ms() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

void open_record(const std::string& path) {
    record_file& record = the_record();
    const std::lock_guard lock{record.lock};
    record.file = std::ofstream{path};
}

void note(const std::string& line) {
    record_file& record = the_record();
    const std::lock_guard lock{record.lock};
    const double now = now_ms();
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%10.1f ", now);
    record.file << time.data() << line << '\n';
    if (now - record.flushed > flush_interval_ms) {
        record.file.flush();
        record.flushed = now;
    }
}

void flush_record() {
    record_file& record = the_record();
    const std::lock_guard lock{record.lock};
    record.file.flush();
}

std::string shown(const std::string& text) {
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
        } else if (c == '\r') {
            result += "\\r";
        } else {
            result += c;
        }
    }
    return result;
}

}  // namespace jasminelead::soak
