#include "case_support.hpp"

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>

#include "soak/clock.h"

namespace jasminelead::review {

bool has_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

const std::vector<std::string>& zones() {
    static const std::vector<std::string> names{"dc-a", "dc-b", "dc-c"};
    return names;
}

void say(const std::string& line) {
    soak::note(line);
    std::cout << line << std::endl;
}

int run_case(int count, char** values, const std::function<int(const std::string&)>& play) {
    ::signal(SIGPIPE, SIG_IGN);
    if (count < 2) {
        std::cerr << "usage: " << values[0] << " FOLDER\n";
        return exit_not_run;
    }
    std::string temporary =
        (std::filesystem::temp_directory_path() / "jasminelead-review-XXXXXX").string();
    if (::mkdtemp(temporary.data()) == nullptr) {
        return exit_not_run;
    }
    soak::open_record(std::string{values[1]} + "/record.txt");
    int result = exit_not_run;
    try {
        result = play(temporary);
    } catch (const std::exception& error) {
        say(std::string{"the case could not run: "} + error.what());
    }
    say(result == exit_held     ? "the rule held"
        : result == exit_broken ? "the rule was broken"
                                : "the case could not run");
    soak::flush_record();
    const char* const kept = std::getenv("KEEP_LOGS");
    if (kept == nullptr) {
        std::filesystem::remove_all(temporary);
    } else {
        std::cout << "logs: " << temporary << std::endl;
    }
    // The threads of the stand-ins end with the process.
    std::_Exit(result);
}

}  // namespace jasminelead::review
