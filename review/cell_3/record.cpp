#include "record.hpp"

#include <iomanip>

namespace review::cell {

record::record(const std::string& path) : m_start(steady::now()), m_out(path) {}

milliseconds record::now() const {
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_start);
}

void record::note(const std::string& who, const std::string& what) {
    constexpr int time_width = 9;
    constexpr int name_width = 12;
    constexpr double ms_per_second = 1000.0;
    std::lock_guard lock(m_mutex);
    m_out << std::fixed << std::setprecision(3) << std::setw(time_width)
          << static_cast<double>(now().count()) / ms_per_second << "  "
          << std::left << std::setw(name_width) << who << std::right << " "
          << what << std::endl;
}

} // namespace review::cell
