#include "jasminelead/retry_pacer.h"

#include <algorithm>

namespace jasminelead {

duration retry_pacer::on_failure() {
    const duration pause = m_pause;
    m_pause = std::min(m_pause * 2, most);
    return pause;
}

}  // namespace jasminelead
