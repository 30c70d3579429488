#include "eelgrasslever/observe/nonblocking_log_sink.hpp"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace eelgrasslever::observe {

nonblocking_log_sink::nonblocking_log_sink(int descriptor)
    : m_descriptor(descriptor) {
    int flags = fcntl(m_descriptor, F_GETFL);
    fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool nonblocking_log_sink::write(std::string line) {
    if (line.size() >= max_line_bytes) {
        line.resize(max_line_bytes - 1);
    }
    line += '\n';
    ssize_t written = ::write(m_descriptor, line.data(), line.size());
    if (written == static_cast<ssize_t>(line.size())) {
        return true;
    }
    m_lost_lines++;
    return false;
}

void nonblocking_log_sink::send(google::LogSeverity severity,
                                const char* /*full*/, const char* base_filename,
                                int line, const google::LogMessageTime& time,
                                const char* message, std::size_t size) {
    write(ToString(severity, base_filename, line, time, message, size));
}

std::uint64_t nonblocking_log_sink::take_lost_count() {
    return std::exchange(m_lost_lines, 0);
}

} // namespace eelgrasslever::observe
