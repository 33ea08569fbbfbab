#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/messages.h"

/// JSON forms of the messages between daemons.
namespace jasminelead::daemon {

inline constexpr std::size_t frame_header_bytes = 4;
inline constexpr std::size_t max_frame_bytes = std::size_t{1024} * 1024;

std::string encode_peer_message(const peer_message& message);
/// Nothing when the text is not exactly one known message.
std::optional<peer_message> decode_peer_message(std::string_view text);

/// Appends the 4-byte big-endian length and the payload.
void append_frame(std::string& out, std::string_view payload);
/// Payload length of the frame that begins with these 4 bytes.
std::size_t frame_length(std::string_view header);

}  // namespace jasminelead::daemon
