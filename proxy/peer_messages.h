#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_client.h"
#include "proxy/own_records.h"

/// Messages in which daemons exchange records and lease confirmations.
namespace jasminelead::proxy {

struct peer_request {
    host_id host;
    incarnation_number incarnation = 0;
    store_era era = 0;          ///< Newest era of the store that the sender knows.
    revision_number known = 0;  ///< The sender knows the records up to this revision.
    std::set<endpoint_id> unreachable;
    /// Revision of the record up to which the sender has stopped using the old primary, by group.
    std::map<group_id, revision_number> stopped_use;
    duration hold;  ///< How long the response may wait for a change.
};

struct peer_response {
    store_era era = 0;  ///< Newest era of the store that the responder knows.
    /// The responder knows the sender as registered and waits for it before replacing a primary.
    bool knows_sender = false;
    bool is_replacing = false;  ///< The responder is replacing a primary.
    /// Time since the store last confirmed the responder's records.
    std::optional<duration> confirmed_age;
    /// Time since the responder's own lease was confirmed.
    std::optional<duration> lease_age;
    duration held;  ///< Time from request to response. The ages are measured at the response.
    /// The responder knows all changes up to this revision; 0 before its first complete listing.
    revision_number complete_up_to = 0;
    std::vector<platform::store_change> changes;
    /// Revisions of the groups' records that the responder knows. Absent unless the sender asked
    /// for a confirmation.
    std::optional<std::map<group_id, revision_number>> group_revisions;
};

std::string encode_peer_request(const peer_request& request);
std::optional<peer_request> decode_peer_request(std::string_view text);
std::string encode_peer_response(const peer_response& response);
std::optional<peer_response> decode_peer_response(std::string_view text);

}  // namespace jasminelead::proxy
