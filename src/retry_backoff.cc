#include "jasminelead/retry_backoff.h"

#include <algorithm>

namespace jasminelead {

duration retry_backoff::on_failure() {
    const duration pause = m_pause;
    m_pause = std::min(m_pause * 2, max_pause);
    return pause;
}

}  // namespace jasminelead
