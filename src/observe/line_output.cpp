#include "eelgrasslever/observe/line_output.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace eelgrasslever::observe {

line_output::line_output(int descriptor) : m_descriptor(descriptor) {
    int flags = fcntl(m_descriptor, F_GETFL);
    fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool line_output::write(std::string line) {
    if (line.size() >= longest_line) {
        line.resize(longest_line - 1);
    }
    line += '\n';
    ssize_t written = ::write(m_descriptor, line.data(), line.size());
    if (written == static_cast<ssize_t>(line.size())) {
        return true;
    }
    m_lost++;
    return false;
}

void line_output::send(google::LogSeverity severity, const char* /*full*/,
                       const char* base_filename, int line,
                       const google::LogMessageTime& time, const char* message,
                       std::size_t size) {
    write(ToString(severity, base_filename, line, time, message, size));
}

std::uint64_t line_output::take_lost() {
    return std::exchange(m_lost, 0);
}

} // namespace eelgrasslever::observe
