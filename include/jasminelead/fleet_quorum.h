#pragma once

#include <cstddef>

#include "jasminelead/types.h"

/// How many hosts have to agree before one may rely on a primary or replace it.
///
/// While the store is away, a host relies on a primary as long as a majority of the registered
/// hosts vouches that it replaces none. A host that replaces a primary therefore waits until so
/// many hosts have stopped using it that the others are no majority, and then until their leases
/// end. That two hosts do not replace a primary at once is left to the conditions of the store.
namespace jasminelead {

/// Longest time without the store for which hosts may vouch for each other. A registration that is
/// older than this can be removed without the word of a majority.
inline constexpr duration longest_vouching = duration::from_ms(10'000);

/// True when `part` of `whole` hosts is a majority.
constexpr bool is_majority(std::size_t part, std::size_t whole) {
    return part * 2 > whole;
}

/// True when the hosts other than `part` are no majority, so that they cannot vouch for leases.
constexpr bool blocks_majority(std::size_t part, std::size_t whole) {
    return part * 2 >= whole;
}

/// The hosts' words that a host has collected in one round, its own included.
struct vouching_round {
    std::size_t registered = 0;
    std::size_t vouched = 0;
    duration store_age;  ///< Since this host last heard the store.
};

/// True when the round stands for an answer of the store.
bool confirms_leases(const vouching_round& round);

/// Progress of a host that waits until nobody relies on a primary that it replaces.
struct stop_progress {
    std::size_t registered = 0;
    std::size_t stopped = 0;  ///< Hosts that no longer use the primary, itself included.
    duration since_blocked;   ///< Since the others are no majority; zero before.
    duration lease_length;
};

/// True when no host can rely on the primary any more.
bool is_unused(const stop_progress& progress);

/// Whether the registration of a host without a sign of life may be removed.
bool may_remove_host(std::size_t live_hosts, std::size_t registered_hosts, duration lost,
                     duration patience, duration lease_length);

}  // namespace jasminelead
