#include "eelgrasslever/cluster/endpoint_run.hpp"

namespace eelgrasslever::cluster {

namespace {

/// An endpoint's clock may be 2% slow (its protocol); 1% more covers the
/// rounding of both clocks.
constexpr std::int64_t slow_clock_percent = 3;

} // namespace

endpoint_time endpoint_run::clock_at(base::instant now) const {
    return clock_reading + (now - clock_read_at);
}

base::instant endpoint_run::lease_over_at() const {
    if (!clock_known || lease_end.count() == 0) {
        return clock_read_at;
    }
    auto rest = lease_end - clock_reading;
    return clock_read_at + rest + rest * slow_clock_percent / 100;
}

} // namespace eelgrasslever::cluster
