#include "soak/process_finder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <vector>

namespace jasminelead::soak {
namespace {

/// Address and port as in /proc/net/tcp.
std::string table_text(const tcp::endpoint& endpoint) {
    const auto bytes = endpoint.address().to_v4().to_bytes();
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%02X%02X%02X%02X:%04X", bytes[3], bytes[2], bytes[1],
                  bytes[0], endpoint.port());
    return text.data();
}

/// The link in the owner's folder of descriptors; empty when the socket is closed.
std::string find_socket_link(const tcp::endpoint& local, const tcp::endpoint& remote) {
    const std::string local_text = table_text(local);
    const std::string remote_text = table_text(remote);
    std::ifstream table{"/proc/self/net/tcp"};
    for (std::string line; std::getline(table, line);) {
        if (line.find(local_text) == std::string::npos) {
            continue;
        }
        std::istringstream words{line};
        const std::vector<std::string> columns{std::istream_iterator<std::string>{words}, {}};
        if (columns.size() > 9 && columns[1] == local_text && columns[2] == remote_text) {
            return columns[9] == "0" ? std::string{} : "socket:[" + columns[9] + "]";
        }
    }
    return {};
}

/// Passes over what a process removes while its folder is read.
template <typename Visit>
void for_each_entry(const std::string& folder, const Visit& visit) {
    std::error_code failed;
    std::filesystem::directory_iterator at{folder, failed};
    while (!failed && at != std::filesystem::directory_iterator{}) {
        visit(at->path());
        at.increment(failed);
    }
}

std::vector<pid_t> all_processes() {
    std::vector<pid_t> found;
    for_each_entry("/proc", [&found](const std::filesystem::path& entry) {
        const std::string name = entry.filename();
        if (std::all_of(name.begin(), name.end(), [](char c) { return c >= '0' && c <= '9'; })) {
            found.push_back(std::stoi(name));
        }
    });
    return found;
}

}  // namespace

std::optional<pid_t> process_finder::find(const tcp::endpoint& caller,
                                          const tcp::endpoint& listener) {
    const std::string link = find_socket_link(caller, listener);
    if (link.empty()) {
        return std::nullopt;
    }
    auto found = m_owners.find(link);
    if (found == m_owners.end()) {
        refresh();
        found = m_owners.find(link);
    }
    return found == m_owners.end() ? std::nullopt : std::optional{found->second};
}

/// The numbers of sockets are not used again, so that an owner found earlier stays valid.
void process_finder::refresh() {
    m_owners.clear();
    for (const pid_t process : all_processes()) {
        for_each_entry("/proc/" + std::to_string(process) + "/fd",
                       [this, process](const std::filesystem::path& entry) {
                           std::error_code is_closed;
                           const std::string link =
                               std::filesystem::read_symlink(entry, is_closed).string();
                           if (!is_closed && link.starts_with("socket:")) {
                               m_owners.emplace(link, process);
                           }
                       });
    }
}

}  // namespace jasminelead::soak
