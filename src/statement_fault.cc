#include "jasminelead/statement_fault.h"

namespace jasminelead {

std::string_view to_string(statement_fault fault) {
    switch (fault) {
        case statement_fault::busy:
            return "busy";
        case statement_fault::aborted:
            return "aborted";
        case statement_fault::lagging:
            return "lagging";
        case statement_fault::read_only:
            return "read_only";
        case statement_fault::wrong_endpoint:
            return "wrong_endpoint";
        case statement_fault::connection_limit:
            return "connection_limit";
        case statement_fault::failed:
            return "failed";
        case statement_fault::unknown_prepared:
            return "unknown_prepared";
        case statement_fault::timeout:
            return "timeout";
        case statement_fault::unknown_database:
            return "unknown_database";
        case statement_fault::malformed:
            return "malformed";
        case statement_fault::too_large:
            return "too_large";
        case statement_fault::unauthorized:
            return "unauthorized";
        case statement_fault::unknown_outcome:
            return "unknown_outcome";
    }
    return "unknown_outcome";
}

std::optional<statement_fault> statement_fault_from_string(std::string_view name) {
    const int last = static_cast<int>(statement_fault::unknown_outcome);
    for (int value = 0; value <= last; ++value) {
        const auto fault = static_cast<statement_fault>(value);
        if (to_string(fault) == name) {
            return fault;
        }
    }
    return std::nullopt;
}

bool is_known_not_run(statement_fault fault) {
    switch (fault) {
        case statement_fault::busy:
        case statement_fault::lagging:
        case statement_fault::read_only:
        case statement_fault::wrong_endpoint:
        case statement_fault::connection_limit:
        case statement_fault::unknown_prepared:
            return true;
        default:
            return false;
    }
}

}  // namespace jasminelead
