#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>

#include "scenario.h"

/// Runs a scenario on the testbed and prints its measurements as one JSON object.
namespace {

using namespace jasminelead::support;

int run(int argc, char** argv) {
    cxxopts::Options options{"jasminelead-bench", "Load and fault scenarios in virtual time"};
    auto add = options.add_options();
    add("list", "print the names of the scenarios");
    add("scenario", "name of the scenario", cxxopts::value<std::string>()->default_value(""));
    add("deployment", "cascadia or cooperative",
        cxxopts::value<std::string>()->default_value("cascadia"));
    add("policy", "default, primary_only or lease_only",
        cxxopts::value<std::string>()->default_value("default"));
    add("seed", "seed of the run", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("disable", "disable a safety mechanism by name", cxxopts::value<std::string>());
    add("help", "print this help");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    if (arguments.count("list") != 0) {
        for (const std::string_view name : scenario_names()) {
            std::cout << name << '\n';
        }
        return 0;
    }
    scenario_options wanted;
    wanted.scenario = arguments["scenario"].as<std::string>();
    wanted.deployment = arguments["deployment"].as<std::string>();
    wanted.policy = arguments["policy"].as<std::string>();
    wanted.seed = arguments["seed"].as<std::uint64_t>();
    const bool known_mechanism =
        arguments.count("disable") == 0 ||
        disable_mechanism(wanted.enabled, arguments["disable"].as<std::string>());
    const auto result = known_mechanism ? run_scenario(wanted) : std::nullopt;
    if (!result) {
        std::cerr << "jasminelead-bench: unknown scenario, deployment, policy or mechanism\n";
        return 2;
    }
    std::cout << boost::json::serialize(result->figures) << '\n';
    return result->violations == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "jasminelead-bench: " << error.what() << '\n';
        return 2;
    }
}
