#include <atomic>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "scenario.h"
#include "soak.h"

/// Runs the randomised fault-injection test for many seeds in parallel.
namespace {

using namespace jasminelead::support;

constexpr std::uint64_t progress_interval = 100;

struct soak_job {
    std::uint64_t from = 1;
    std::uint64_t seeds = 1;
    unsigned threads = 1;
    soak_options options;
    std::string disabled;
};

class soak_runner {
public:
    explicit soak_runner(soak_job job) : m_job{std::move(job)} {}

    int run() {
        std::vector<std::thread> workers;
        for (unsigned i = 0; i < m_job.threads; ++i) {
            workers.emplace_back([this] { work(); });
        }
        for (std::thread& worker : workers) {
            worker.join();
        }
        std::cout << m_job.seeds << " seeds, " << m_requests << " requests, " << m_failed
                  << " failed\n";
        return m_failed == 0 ? 0 : 1;
    }

private:
    void work() {
        for (std::uint64_t i = m_next++; i < m_job.seeds; i = m_next++) {
            run_seed(m_job.from + i);
        }
    }

    void run_seed(std::uint64_t seed) {
        soak_options options = m_job.options;
        options.seed = seed;
        options.deployment = seed % 2 == 0 ? "cascadia" : "cooperative";
        const auto faults = random_faults(seed);
        const soak_result result = run_soak(options, faults);
        m_requests += result.requests;
        const std::lock_guard lock{m_output};
        if (++m_finished % progress_interval == 0) {
            std::cerr << m_finished << " of " << m_job.seeds << " seeds\n";
        }
        if (result.violations.empty()) {
            return;
        }
        ++m_failed;
        std::cout << "seed " << seed << " failed; repeat with: jasminelead-soak --seeds 1 --from "
                  << seed << m_job.disabled << '\n';
        for (const std::string& line : result.violations) {
            std::cout << "  " << line << '\n';
        }
        for (const fault& item : faults) {
            std::cout << "  fault: " << item << '\n';
        }
        std::cout.flush();
    }

    soak_job m_job;
    std::atomic<std::uint64_t> m_next{0};
    std::atomic<std::uint64_t> m_requests{0};
    std::mutex m_output;
    std::uint64_t m_finished = 0;
    std::uint64_t m_failed = 0;
};

int run(int argc, char** argv) {
    cxxopts::Options options{"jasminelead-soak", "Randomised fault injection in virtual time"};
    auto add = options.add_options();
    add("seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("100"));
    add("from", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("threads", "number of threads; 0 uses all cores",
        cxxopts::value<unsigned>()->default_value("0"));
    add("disable", "disable a safety mechanism by name", cxxopts::value<std::string>());
    add("strict", "abort at the first violated invariant");
    add("help", "print this help");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
        std::cout << options.help();
        return 0;
    }
    soak_job job;
    job.from = arguments["from"].as<std::uint64_t>();
    job.seeds = arguments["seeds"].as<std::uint64_t>();
    job.threads = arguments["threads"].as<unsigned>();
    job.options.strict = arguments.count("strict") != 0;
    if (job.threads == 0) {
        job.threads = std::max(1U, std::thread::hardware_concurrency());
    }
    if (arguments.count("disable") != 0) {
        const auto name = arguments["disable"].as<std::string>();
        job.disabled = " --disable " + name;
        if (!disable_mechanism(job.options.enabled, name)) {
            std::cerr << "jasminelead-soak: unknown mechanism " << name << '\n';
            return 2;
        }
    }
    return soak_runner{job}.run();
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "jasminelead-soak: " << error.what() << '\n';
        return 2;
    }
}
