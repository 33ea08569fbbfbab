#pragma once

#include <boost/system/error_code.hpp>

#include "jasminelead/messages.h"

namespace jasminelead::daemon {

/// What a failed connect, read or write tells about the other side.
endpoint_error network_error(const boost::system::error_code& error);

}  // namespace jasminelead::daemon
