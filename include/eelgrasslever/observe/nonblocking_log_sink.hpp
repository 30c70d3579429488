/// @file
/// Where log lines go: a file descriptor that may be read slowly or not at all.
#pragma once

#include <glog/logging.h>

#include <cstdint>
#include <string>

namespace eelgrasslever::observe {

/// Writes each line with one call. A line that the descriptor does not take at
/// once is lost as a whole and counted; the caller never waits.
class nonblocking_log_sink final : public google::LogSink {
  public:
    /// Longest line in bytes, with its end. Source: POSIX writes no more than
    /// PIPE_BUF bytes to a pipe at once, or none of them.
    static constexpr std::size_t max_line_bytes = 4096;

    /// @param descriptor is switched to non-blocking mode.
    explicit nonblocking_log_sink(int descriptor);

    /// @param line without its end; cut at `max_line_bytes`.
    /// @return whether it was written.
    bool write(std::string line);

    void send(google::LogSeverity severity, const char* full_filename,
              const char* base_filename, int line,
              const google::LogMessageTime& time, const char* message,
              std::size_t size) override;

    /// @return the lines lost since the last call.
    std::uint64_t take_lost_count();

  private:
    int m_descriptor;
    std::uint64_t m_lost_lines{0};
};

} // namespace eelgrasslever::observe
