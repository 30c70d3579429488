/// @file
/// The record of what was sent, answered and run.
#pragma once

#include <chrono>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace review {

class record_file {
  public:
    explicit record_file(const std::string& path)
        : m_out(path), m_start(std::chrono::steady_clock::now()) {}

    /// Writes a line with the time since the start, in milliseconds.
    void write(const std::string& line) {
        std::lock_guard lock(m_mutex);
        auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - m_start);
        m_out << age.count() << " ms  " << line << std::endl;
        std::cout << age.count() << " ms  " << line << std::endl;
    }

  private:
    std::mutex m_mutex;
    std::ofstream m_out;
    std::chrono::steady_clock::time_point m_start;
};

} // namespace review
