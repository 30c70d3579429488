/// @file
/// Clients outside the published limits, as raw connections to one process.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace eelgrasslever::test {

/// Connections that are held open together. Sending never waits for long: what
/// the process does not take is left out.
class crowd {
  public:
    /// Opens up to @p count connections to @p address ("IP:port").
    crowd(const std::string& address, std::size_t count);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends @p text on each connection that is still open, in parts of
    /// @p part_bytes, one part on each connection in turn.
    void send(const std::string& text, std::size_t part_bytes);

  private:
    std::vector<int> m_connections;
};

/// @return a request whose body lacks its last byte.
[[nodiscard]] std::string unfinished_request(const std::string& path,
                                             std::size_t body_bytes);
/// @return the same with a body in chunks.
[[nodiscard]] std::string unfinished_chunks(const std::string& path,
                                            std::size_t body_bytes,
                                            std::size_t chunk_bytes);
/// @return a complete request.
[[nodiscard]] std::string complete_request(const std::string& path,
                                           const std::string& body);

/// What a process has used, from /proc.
struct process_usage {
    std::size_t peak_resident_mb{0};
    std::size_t descriptors{0};
};
[[nodiscard]] process_usage read_usage(int pid);

} // namespace eelgrasslever::test
