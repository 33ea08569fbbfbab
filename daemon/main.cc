
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <random>
#include <thread>

#include "clock.h"
#include "jasminelead/kernel_options.h"
#include "log.h"
#include "node.h"
#include "proxy/event_log.h"
#include "proxy/session_daemon.h"
#include "settings.h"

namespace {

using namespace jasminelead;
using namespace jasminelead::daemon;

constexpr int exit_invalid_settings = 2;
constexpr std::string_view version = "0.1.0";

kernel_options kernel_options_from(const settings& from) {
    kernel_options options;
    options.self = from.host;
    options.data_centre = from.data_centre;
    options.incarnation = wall_clock_incarnation();
    options.seed = std::random_device{}();
    options.token_keys = from.token_keys;
    options.routing_policy = from.routing_policy;
    options.failover_policy = from.failover_policy;
    return options;
}

sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Threads inherit the mask, so the signals stay blocked everywhere and sigwait receives them.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Starts a drain at the first signal and ends the process at the second one.
void drain_on_signal(node& running, const sigset_t& signals) {
    std::thread{[&running, signals] {
        int number = 0;
        sigwait(&signals, &number);
        running.drain();
        sigwait(&signals, &number);
        std::_Exit(EXIT_FAILURE);
    }}.detach();
}

int serve(const settings& loaded) {
    const sigset_t signals = block_signals();
    start_log(loaded.log_level);
    std::unique_ptr<core_kernel> kernel;
    try {
        kernel = make_kernel(kernel_options_from(loaded));
    } catch (const std::invalid_argument& error) {
        std::cerr << error.what() << '\n';
        return exit_invalid_settings;
    }
    node running{loaded, std::move(kernel)};
    if (const auto fault = running.start()) {
        std::cerr << *fault << '\n';
        return EXIT_FAILURE;
    }
    log_info("serving as " + loaded.host.str() + " at " + loaded.advertise);
    drain_on_signal(running, signals);
    running.wait_for_drain_request();
    const bool drained = running.wait_drained(std::chrono::milliseconds{loaded.drain_timeout_ms});
    log_info(drained ? "drained" : "drain timeout");
    // The signal thread still refers to the node, so the process ends without its destructor.
    running.stop();
    std::cerr.flush();
    std::_Exit(EXIT_SUCCESS);
}

void reload_sessions(proxy::session_daemon& running, const std::string& path) {
    const auto loaded = proxy::load_settings(path);
    if (const auto* const errors = std::get_if<proxy::settings_errors>(&loaded)) {
        running.log_settings_errors(*errors);
        return;
    }
    running.reload(std::get<proxy::settings>(loaded));
}

/// Reloads the settings at SIGHUP and stops the daemon at any other signal.
void watch_session_signals(proxy::session_daemon& running, const std::string& path,
                           const sigset_t& signals) {
    std::thread{[&running, path, signals] {
        int number = SIGHUP;
        while (sigwait(&signals, &number) == 0 && number == SIGHUP) {
            reload_sessions(running, path);
        }
        running.stop_gracefully();
    }}.detach();
}

int serve_sessions(const proxy::settings& loaded, const std::string& path) {
    sigset_t signals = block_signals();
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    proxy::start_log(loaded.log_level);
    proxy::session_daemon running{loaded};
    if (const auto fault = running.start()) {
        std::cerr << *fault << '\n';
        return EXIT_FAILURE;
    }
    proxy::log_line{proxy::log_class::change, "started"}
        .with("version", version)
        .with("host", loaded.host)
        .with("data_centre", loaded.data_centre)
        .with("listen", loaded.listen)
        .write();
    watch_session_signals(running, path, signals);
    running.wait_stopped();
    // The signal thread still refers to the daemon, so the process ends without its destructor.
    std::_Exit(EXIT_SUCCESS);
}

/// The settings file from the command line or the environment; empty when not given.
std::string settings_path(const cxxopts::ParseResult& arguments) {
    if (arguments.count("config") > 0) {
        return arguments["config"].as<std::string>();
    }
    return process_environment("JASMINELEAD_SETTINGS").value_or("");
}

int report(const std::vector<std::string>& errors) {
    for (const std::string& error : errors) {
        std::cerr << error << '\n';
    }
    return exit_invalid_settings;
}

int run_sessions(const cxxopts::ParseResult& arguments) {
    const std::string path = settings_path(arguments);
    const auto loaded = proxy::load_settings(path);
    if (const auto* const errors = std::get_if<proxy::settings_errors>(&loaded)) {
        return report(*errors);
    }
    const bool check_only = arguments.count("check") > 0;
    return check_only ? EXIT_SUCCESS : serve_sessions(std::get<proxy::settings>(loaded), path);
}

int run(const cxxopts::ParseResult& arguments) {
    if (arguments.count("sessions") > 0) {
        return run_sessions(arguments);
    }
    const auto loaded = load_settings(settings_path(arguments), process_environment);
    if (const auto* const errors = std::get_if<settings_errors>(&loaded)) {
        return report(*errors);
    }
    return arguments.count("check") > 0 ? EXIT_SUCCESS : serve(std::get<settings>(loaded));
}

}  // namespace

int main(int count, char** values) {
    cxxopts::Options options{"jasminelead", "Database proxy with session consistency"};
    options.add_options()("config", "Settings file (YAML)", cxxopts::value<std::string>())(
        "sessions", "Serve sessions over the line protocol")(
        "check", "Check the settings and exit")("version", "Print the version")("help",
                                                                                "Print this text");
    try {
        const auto arguments = options.parse(count, values);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (arguments.count("version") > 0) {
            std::cout << "jasminelead " << version << '\n';
            return EXIT_SUCCESS;
        }
        if (settings_path(arguments).empty()) {
            std::cerr << "no settings file: pass --config FILE or set JASMINELEAD_SETTINGS\n";
            return exit_invalid_settings;
        }
        return run(arguments);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << '\n';
        return exit_invalid_settings;
    }
}
