/// @file
/// Frames between entry VMs: a length of four bytes, little-endian, followed by
/// a FlatBuffers envelope. Every frame is bounded and verified before use.
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
/// A bundle holds at most a megabyte; nothing else comes near it.
inline constexpr std::size_t max_frame_bytes = 2 * 1024 * 1024;

/// @return the whole frame, header included.
[[nodiscard]] std::string encode(const envelope& value);

/// Reads the content of one frame, header excluded.
[[nodiscard]] base::result<envelope> decode(std::string_view content);

/// Cuts a byte stream into frames.
class frame_reader {
  public:
    void append(const char* data, std::size_t size) {
        m_buffer.append(data, size);
    }

    /// @return the next whole content, nothing where more bytes are needed, or
    /// an error where the stream can't be read on.
    [[nodiscard]] base::result<std::optional<std::string>> next();

  private:
    std::string m_buffer;
};

} // namespace eelgrasslever::wire
