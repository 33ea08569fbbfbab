#include "proxy/session_data.h"

namespace jasminelead::proxy {

session_writes last_write(const session_data& session, const group_id& group) {
    const auto found = session.writes.find(group);
    return found == session.writes.end() ? session_writes{} : found->second;
}

void record_write(session_data& session, const group_id& group, const session_writes& write) {
    if (write.point) {
        session.writes[group] = write;
    }
}

}  // namespace jasminelead::proxy
