#pragma once

#include "jasminelead/types.h"

/// Tells when a promotion has taken effect.
///
/// Endpoints know only their own history: a former primary keeps its role and its term until it has
/// learned of its successor.
namespace jasminelead {

/// Role and term as an endpoint reports them itself.
struct reported_role {
    endpoint_role role = endpoint_role::replica;
    term_number term = 0;
};

/// True if the endpoint leads its group, in which `newest` is the newest known term.
constexpr bool leads(const reported_role& reported, term_number newest) {
    return reported.role == endpoint_role::primary && reported.term >= newest;
}

}  // namespace jasminelead
