#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "jasminelead/messages.h"

/// JSON encoding of caller requests and replies (docs/protocol.md).
namespace jasminelead::daemon {

inline constexpr std::size_t max_request_body_bytes = std::size_t{64} * 1024;
inline constexpr std::size_t max_json_depth = 16;
inline constexpr std::size_t max_name_bytes = 64;

struct request_fault {
    reason why = reason::bad_request;
    std::string detail;
};

struct parsed_request {
    caller_request request;  ///< Its `id` is not set.
    std::string caller_id;   ///< JSON text of the caller's own `id`; empty when absent.
};

/// The request kind of a path such as "/v1/begin"; nullopt for other paths.
std::optional<request_kind> kind_of_path(std::string_view path);
std::variant<parsed_request, request_fault> parse_caller_request(request_kind kind,
                                                                 std::string_view body);
std::variant<switchover_requested, request_fault> parse_switchover(std::string_view body);

struct rendered_reply {
    int status = 200;  ///< HTTP status.
    std::string body;
};
rendered_reply render_reply(const caller_reply& reply, std::string_view caller_id);
/// The reply to a request that was refused before it reached the kernel.
rendered_reply render_fault(const request_fault& fault, std::string_view caller_id);

}  // namespace jasminelead::daemon
