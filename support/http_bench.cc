// Load test of the caller server with a kernel that replies immediately. Prints statements per
// second of one worker and the memory of idle connections. The load runs in a separate process, so
// that its CPU time does not count as the daemon's.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>
#include <vector>

#include "fake_kernel.h"
#include "http_test_client.h"
#include "node.h"

using namespace jasminelead;
using namespace jasminelead::daemon;
using namespace jasminelead::support;

namespace {

constexpr int connections = 64;
constexpr int pipelined = 16;
constexpr int rounds = 200;
constexpr std::size_t idle_steps[] = {1000, 3200};

double cpu_seconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

settings bench_settings() {
    settings options;
    options.host = host_id{"h1"};
    options.data_centre = data_centre_id{"a"};
    options.listen = "127.0.0.1:0";
    options.store = "127.0.0.1:1";
    options.workers = 1;
    return options;
}

std::string batch() {
    const std::string body =
        R"({"id":1,"service":"shows","group":"shows-1","text":"get k","read":true,"session":"AbCdEf"})";
    std::string requests;
    for (int i = 0; i < pipelined; ++i) {
        requests += http_post("/v1/statement", body);
    }
    return requests;
}

using client_list = std::vector<std::unique_ptr<http_test_client>>;

client_list connect(std::uint16_t port, std::size_t count) {
    client_list clients;
    for (std::size_t i = 0; i < count; ++i) {
        clients.push_back(std::make_unique<http_test_client>(port));
    }
    return clients;
}

int run_load(std::uint16_t port) {
    const std::string requests = batch();
    const client_list clients = connect(port, connections);
    int failed = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const auto& client : clients) {
            client->send(requests);
        }
        for (const auto& client : clients) {
            for (int i = 0; i < pipelined; ++i) {
                const auto answer = client->receive();
                failed += answer && answer->status == 200 ? 0 : 1;
            }
        }
    }
    return failed == 0 ? 0 : 1;
}

void measure_load(std::uint16_t port) {
    const double cpu_before = cpu_seconds();
    const auto before = std::chrono::steady_clock::now();
    const pid_t child = fork();
    if (child == 0) {
        _exit(run_load(port));
    }
    int status = 0;
    waitpid(child, &status, 0);
    const std::chrono::duration<double> passed = std::chrono::steady_clock::now() - before;
    const double cpu = cpu_seconds() - cpu_before;
    const double statements = double{connections} * pipelined * rounds;
    std::printf("statements %.0f, failed %d, %.0f/s wall, %.0f/s of daemon processor time\n",
                statements, WEXITSTATUS(status), statements / passed.count(), statements / cpu);
}

/// Opens connections, sends one request on each and prints the daemon's memory.
void measure_idle(std::uint16_t port, std::size_t count, double base) {
    int ready[2];
    int done[2];
    if (pipe(ready) != 0 || pipe(done) != 0) {
        return;
    }
    const pid_t child = fork();
    char byte = 0;
    if (child == 0) {
        const client_list clients = connect(port, count);
        const std::string request = batch();
        for (const auto& client : clients) {
            client->send(std::string_view{request}.substr(0, request.size() / pipelined));
            client->receive();
        }
        const bool sent = write(ready[1], &byte, 1) == 1;
        close(done[1]);
        _exit(sent && read(done[0], &byte, 1) >= 0 ? 0 : 1);
    }
    close(ready[1]);
    const bool opened = read(ready[0], &byte, 1) == 1;
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    const double resident = resident_bytes();
    std::printf("idle connections %zu%s: resident %.0f KB, %.2f KB each\n", count,
                opened ? "" : " (failed)", resident / 1024,
                (resident - base) / 1024 / static_cast<double>(count));
    close(done[0]);
    close(done[1]);
    int status = 0;
    waitpid(child, &status, 0);
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
}

}  // namespace

int main() {
    node server{bench_settings(), std::make_unique<fake_kernel>()};
    if (const auto fault = server.start()) {
        std::puts(fault->c_str());
        return 1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    const double base = resident_bytes();
    std::printf("idle connections 0: resident %.0f KB\n", base / 1024);
    for (const std::size_t count : idle_steps) {
        measure_idle(server.port(), count, base);
    }
    const double cpu_before = cpu_seconds();
    const auto wakeups_before = server.wakeups();
    std::this_thread::sleep_for(std::chrono::seconds{5});
    std::printf("idle for 5 s: %.2f%% of a core, %llu wake-ups\n",
                (cpu_seconds() - cpu_before) / 5 * 100,
                static_cast<unsigned long long>(server.wakeups() - wakeups_before));
    measure_load(server.port());
    return 0;
}
