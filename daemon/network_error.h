#pragma once

#include <boost/system/error_code.hpp>

#include "jasminelead/messages.h"

namespace jasminelead::daemon {

/// Maps the error of a connect, read or write to what it proves about the peer.
endpoint_error network_error(const boost::system::error_code& error);

}  // namespace jasminelead::daemon
