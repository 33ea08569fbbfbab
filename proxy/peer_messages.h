#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_client.h"
#include "proxy/own_records.h"

/// What daemons tell each other while the store does not response.
namespace jasminelead::proxy {

struct peer_request {
    host_id host;
    incarnation_number incarnation = 0;
    revision_number known = 0;  ///< Records up to this revision are known to the sender.
    std::set<endpoint_id> unreachable;
    /// Revisions of records of which the sender no longer uses the primary.
    std::map<group_id, revision_number> stopped_use;
    duration hold;  ///< How long the answer may wait for a change.
};

struct peer_response {
    /// The answering host will ask the sender before it replaces a primary.
    bool knows_sender = false;
    bool is_replacing = false;  ///< It is replacing a primary now.
    /// Time since the store was last known to hold the records that the answering host knows.
    std::optional<duration> confirmed_age;
    /// Time since the moment that the answering host's own lease proves.
    std::optional<duration> lease_age;
    duration held;  ///< Time from the request to the answer; the ages are those at the response.
    /// The answering host knows all changes up to this revision; 0 when it is not sure.
    revision_number complete_up_to = 0;
    std::vector<platform::store_change> changes;
};

std::string encode_peer_request(const peer_request& request);
std::optional<peer_request> decode_peer_request(std::string_view text);
std::string encode_peer_response(const peer_response& response);
std::optional<peer_response> decode_peer_response(std::string_view text);

}  // namespace jasminelead::proxy
