#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "jasminelead/messages.h"

/// JSON encoding and framing of the messages between daemons.
namespace jasminelead::daemon {

inline constexpr std::size_t frame_header_bytes = 4;
inline constexpr std::size_t max_frame_bytes = std::size_t{1024} * 1024;

std::string encode_peer_message(const peer_message& message);
/// Returns nullopt unless the text is exactly one message of a known type.
std::optional<peer_message> decode_peer_message(std::string_view text);

/// Appends a frame: the payload length as 4 bytes in big-endian order, then the payload.
void append_frame(std::string& out, std::string_view payload);
/// Decodes the payload length from a frame header.
std::size_t frame_length(std::string_view header);

}  // namespace jasminelead::daemon
