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
    // Other errors (unreachable network, no free descriptors) prove nothing about the peer. If they
    // were reported as `refused`, a replica could be promoted while the primary is running.
    return endpoint_error::timeout;
}

}  // namespace jasminelead::daemon
