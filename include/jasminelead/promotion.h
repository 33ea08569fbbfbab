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

/// True if the endpoint has been promoted since `before` was the newest term.
constexpr bool is_promoted_since(const reported_role& reported, term_number before) {
    return reported.role == endpoint_role::primary && reported.term > before;
}

}  // namespace jasminelead
