/// @file
/// What was sent, answered and run in a case, in the order of events.
#pragma once

#include "http.hpp"

#include <fstream>
#include <mutex>

namespace review::cell {

class record {
  public:
    explicit record(const std::string& path);

    /// Writes a line with the time since the start.
    void note(const std::string& who, const std::string& what);
    [[nodiscard]] milliseconds now() const;

  private:
    steady::time_point m_start;
    std::mutex m_mutex;
    std::ofstream m_out;
};

} // namespace review::cell
