#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

namespace jasminelead::support {
namespace {

// utime and stime are fields 14 and 15 of /proc/<pid>/stat; the first field after the program name
// is number 3.
constexpr int fields_before_times = 11;

std::ifstream open_proc(pid_t id, const char* name) {
    std::ifstream file{"/proc/" + std::to_string(id) + "/" + name};
    if (!file) {
        throw std::runtime_error("process " + std::to_string(id) + " does not exist");
    }
    return file;
}

}  // namespace

double processor_seconds(pid_t id) {
    std::ifstream file = open_proc(id, "stat");
    std::string line;
    std::getline(file, line);
    // The program name is in parentheses and may contain spaces.
    std::istringstream fields{line.substr(line.rfind(')') + 1)};
    std::string skipped;
    for (int i = 0; i < fields_before_times; ++i) {
        fields >> skipped;
    }
    double user_ticks = 0;
    double system_ticks = 0;
    fields >> user_ticks >> system_ticks;
    return (user_ticks + system_ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::int64_t resident_kib(pid_t id) {
    std::ifstream file = open_proc(id, "status");
    const std::string label = "VmRSS:";
    std::string word;
    while (file >> word) {
        if (word == label) {
            std::int64_t kib = 0;
            file >> kib;
            return kib;
        }
    }
    throw std::runtime_error("no VmRSS in the status of process " + std::to_string(id));
}

}  // namespace jasminelead::support
