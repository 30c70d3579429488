/// @file
/// glog sink for a file descriptor whose reader may be slow or stalled.
#pragma once

#include <glog/logging.h>

#include <cstdint>
#include <string>

namespace eelgrasslever::observe {

/// Writes each line with a single non-blocking call. A line that the descriptor
/// does not accept immediately is dropped and counted, so logging never blocks
/// the caller.
class nonblocking_log_sink final : public google::LogSink {
  public:
    /// Maximum line length in bytes, including the newline. Equals PIPE_BUF on
    /// Linux: POSIX guarantees that a pipe takes a write up to this size whole
    /// or not at all.
    static constexpr std::size_t max_line_bytes = 4096;

    /// @param descriptor output; switched to non-blocking mode, not owned.
    explicit nonblocking_log_sink(int descriptor);

    /// @param line text without newline; truncated to fit `max_line_bytes`.
    /// @return false if the line was dropped.
    bool write(std::string line);

    void send(google::LogSeverity severity, const char* full_filename,
              const char* base_filename, int line,
              const google::LogMessageTime& time, const char* message,
              std::size_t size) override;

    /// @return the number of lines dropped since the previous call.
    std::uint64_t take_lost_count();

  private:
    int m_descriptor;
    std::uint64_t m_lost_lines{0};
};

} // namespace eelgrasslever::observe
