#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

#include "arguments.h"
#include "daemon_commands.h"
#include "exit_code.h"
#include "jasminelead/totals.h"
#include "store_client.h"
#include "table_commands.h"
#include "totals_command.h"

namespace {

using namespace jasminelead::ctl;

constexpr const char* version = JASMINELEAD_VERSION;
constexpr std::chrono::milliseconds store_retry_wait{200};

std::optional<std::string> read_file(const std::string& name) {
    std::ifstream file;
    if (name != "-") {
        file.open(name, std::ios::binary);
    }
    std::istream& input = name == "-" ? std::cin : file;
    if (!input) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{input}, {}};
}

std::string random_id() {
    std::random_device device;
    std::ostringstream text;
    for (int i = 0; i < 4; ++i) {
        text << std::hex << device() << (i < 3 ? "-" : "");
    }
    return text.str();
}

std::string operator_name(const arguments& values) {
    const char* const user = std::getenv("USER");
    if (!values.operator_name.empty() || user == nullptr) {
        return values.operator_name;
    }
    return user;
}

exit_code fail(exit_code code, const std::string& text) {
    std::cerr << "jasminelead-ctl: " << text << "\n";
    return code;
}

exit_code run_table(arguments values) {
    values.operator_name = operator_name(values);
    store_client store{http_client{values.store}};
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const table_environment environment{
        [&store](const jasminelead::store_request& request) { return store.perform(request); },
        read_file,
        [] { std::this_thread::sleep_for(store_retry_wait); },
        random_id(),
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count(),
        std::cout,
        std::cerr};
    const exit_code code = run_table_command(values, environment);
    return code == unreachable ? fail(code, store.last_error()) : code;
}

exit_code run_totals(const arguments& values) {
    if (!is_day(values.day)) {
        return fail(usage_error, "usage: totals --day YYYY-MM-DD [--csv]");
    }
    store_client store{http_client{values.store}};
    const auto entries = store.list(jasminelead::totals_prefix(values.day));
    if (!entries) {
        return fail(unreachable, store.last_error());
    }
    return print_totals(values, *entries, std::cout, std::cerr);
}

exit_code run(const arguments& values) {
    const std::string command = values.positional.empty() ? "" : values.positional[0];
    if (command == "table" || command == "totals") {
        if (values.store.empty()) {
            return fail(usage_error, command + " requires --store ADDRESS");
        }
        return command == "table" ? run_table(values) : run_totals(values);
    }
    if (command == "status" || command == "explain" || command == "drain" ||
        command == "switchover") {
        if (values.daemon.empty()) {
            return fail(usage_error, command + " requires --daemon ADDRESS");
        }
        return run_daemon_command(values, http_client{values.daemon}, std::cout, std::cerr);
    }
    if (command == "check-config") {
        return fail(usage_error,
                    "the daemon checks its settings: jasminelead --config FILE --check");
    }
    return fail(usage_error, command.empty() ? "no command; see --help"
                                             : "unknown command " + command + "; see --help");
}

}  // namespace

int main(int argc, char** argv) {
    const parsed_arguments parsed = parse_arguments(argc, argv);
    if (!parsed.values) {
        return fail(usage_error, parsed.error);
    }
    if (parsed.values->help) {
        std::cout << help_text();
        return success;
    }
    if (parsed.values->version) {
        std::cout << "jasminelead-ctl " << version << "\n";
        return success;
    }
    return run(*parsed.values);
}
