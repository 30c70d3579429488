#include "eelgrasslever/service/pause_detector.hpp"

namespace eelgrasslever::service {

namespace {

constexpr base::milliseconds awake_period{50};

} // namespace

pause_detector::pause_detector(kernel::loop& owner)
    : m_timer(owner, [this] { note_awake(); }), m_awake_at(base::uptime_now()) {
    m_timer.start_every(awake_period);
}

void pause_detector::note_awake() {
    auto now = base::uptime_now();
    if (now - m_awake_at > max_pause) {
        m_distrusted_until = now + distrust_period;
    }
    m_awake_at = now;
}

bool pause_detector::may_be_old() const {
    return base::uptime_now() < m_distrusted_until || since_awake() > max_pause;
}

base::milliseconds pause_detector::since_awake() const {
    return base::uptime_now() - m_awake_at;
}

} // namespace eelgrasslever::service
