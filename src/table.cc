#include "jasminelead/table.h"

namespace jasminelead {

std::uint32_t service_connection_share(const service_row& service, std::size_t index,
                                       std::size_t endpoints) {
    if (endpoints == 0) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(endpoints);
    const std::uint32_t base = service.max_connections / count;
    const std::uint32_t remainder = service.max_connections % count;
    return base + (index < remainder ? 1 : 0);
}

}  // namespace jasminelead
