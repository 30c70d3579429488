/// @file
/// Encoding of frames between entry VMs: a four-byte little-endian length
/// followed by a FlatBuffers envelope. The length is checked against a limit
/// and the envelope is verified before its fields are read.
#pragma once

#include "eelgrasslever/base/error.hpp"
#include "eelgrasslever/wire/message.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrasslever::wire {

inline constexpr std::size_t frame_header_bytes = 4;
/// Limit on the content length. The largest content is a bundle of up to 1 MiB.
inline constexpr std::size_t max_frame_bytes = 2 * 1024 * 1024;

/// @return the complete frame, including its header.
[[nodiscard]] std::string encode(const envelope& value);

/// Decodes a frame without its header.
/// @return the envelope, or `invalid_argument` if the frame is malformed or its
/// message type is unknown.
[[nodiscard]] base::result<envelope> decode(std::string_view content);

/// Splits a byte stream into frames.
class frame_reader {
  public:
    void append(const char* data, std::size_t size) {
        m_buffer.append(data, size);
    }

    /// @return the content of the next complete frame, nothing if more bytes
    /// are needed, or `invalid_argument` if a frame exceeds `max_frame_bytes`;
    /// the stream is unusable after that.
    [[nodiscard]] base::result<std::optional<std::string>> next();

  private:
    std::string m_buffer;
};

} // namespace eelgrasslever::wire
