#include "network_error.h"

#include <boost/asio/error.hpp>

namespace jasminelead::daemon {

endpoint_error network_error(const boost::system::error_code& error) {
    namespace errors = boost::asio::error;
    if (error == errors::connection_refused) {
        return endpoint_error::refused;
    }
    if (error == errors::eof || error == errors::connection_reset || error == errors::broken_pipe ||
        error == errors::connection_aborted || error == errors::operation_aborted) {
        return endpoint_error::reset;
    }
    // The rest (unreachable network, no descriptors left) proves nothing about the other side.
    // Reported as refused, it could lead to a promotion while the primary is alive.
    return endpoint_error::timeout;
}

}  // namespace jasminelead::daemon
