#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <unordered_map>

namespace jasminelead::soak {

using tcp = boost::asio::ip::tcp;

/// Finds the process that opened a connection on this machine. Searching the open files of all
/// processes takes several ms, so that their owners are kept until a connection is not among them.
class process_finder {
public:
    /// Empty when the caller has closed the connection or its files cannot be read.
    std::optional<pid_t> find(const tcp::endpoint& caller, const tcp::endpoint& listener);

private:
    void refresh();

    std::unordered_map<std::string, pid_t> m_owners;  ///< By the name of the socket in the system.
};

}  // namespace jasminelead::soak
