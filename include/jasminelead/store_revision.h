#pragma once

#include "jasminelead/types.h"

/// Revisions of a store that may return from an older copy of its data.
///
/// The store then counts up from the revision of the copy and gives out the later revisions a
/// second time, in a new era. A `revision_number` of the store holds both, the era in its high
/// bits, so that numbers of different eras can be compared. A store without eras stays in era 0,
/// where a number equals the store's own revision.
namespace jasminelead {

using store_era = std::uint64_t;

/// Leaves room for 10^12 changes in an era, and for 8,191 eras in the whole numbers that a double
/// represents exactly.
inline constexpr unsigned revision_bits = 40;

constexpr store_era era_of(revision_number revision) {
    return revision >> revision_bits;
}

/// The revision as the store itself counts it.
constexpr revision_number revision_within_era(revision_number revision) {
    return revision & ((revision_number{1} << revision_bits) - 1);
}

/// `revision` is as the store itself counts it. 0 stands for no revision and has no era.
constexpr revision_number revision_in_era(store_era era, revision_number revision) {
    return revision == 0 ? 0 : (era << revision_bits) | revision_within_era(revision);
}

}  // namespace jasminelead
