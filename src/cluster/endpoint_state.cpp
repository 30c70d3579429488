#include "eelgrasslever/cluster/endpoint_state.hpp"

namespace eelgrasslever::cluster {

namespace {

/// The endpoints' protocol allows a clock to run 2% slow; another 1% covers
/// the rounding of both clocks.
constexpr std::int64_t slow_clock_percent = 3;

} // namespace

endpoint_time endpoint_state::estimate_clock(base::instant now) const {
    return clock_reading + (now - clock_read_at);
}

base::instant endpoint_state::lease_expiry() const {
    if (!has_clock_reading || lease_deadline.count() == 0) {
        return clock_read_at;
    }
    auto remaining = lease_deadline - clock_reading;
    return clock_read_at + remaining + remaining * slow_clock_percent / 100;
}

} // namespace eelgrasslever::cluster
