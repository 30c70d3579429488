#include "eelgrasslever/cluster/endpoint_state.hpp"
#include "eelgrasslever/cluster/job_execution.hpp"

#include <algorithm>

namespace eelgrasslever::cluster {

namespace {

/// The endpoints' protocol allows a clock to run 2% slow; another 1% covers
/// the rounding of both clocks.
constexpr std::int64_t slow_clock_percent = 3;
/// Progress from which the speed of a run is known well enough.
constexpr int min_measured_percent = 5;
/// A run that has passed its expected end may end at any time.
constexpr base::milliseconds overdue_remainder{100};

} // namespace

std::string describe_age(const std::optional<base::instant>& event,
                         base::instant now) {
    return event ? std::to_string((now - *event).count()) : "never";
}

void allocation::update_progress(int reported_percent, base::instant now) {
    if (reported_percent == percent) {
        return;
    }
    percent = reported_percent;
    percent_changed_at = now;
    int progress = percent - initial_percent;
    if (progress >= min_measured_percent) {
        expected_end =
            now + (now - progress_since) * (100 - percent) / progress;
    }
}

// A start without a reply may never have been carried out.
base::milliseconds allocation::assumed_alive() const {
    bool confirmed = phase == allocation_phase::running ||
                     phase == allocation_phase::stopping;
    return std::max(confirmed ? base::milliseconds(0) : max_report_age,
                    assumed_age + seen_alive());
}

std::vector<expected_release>
endpoint_state::expected_releases(base::instant now) const {
    std::vector<expected_release> result;
    result.reserve(runs.size());
    for (const auto& [key, run] : runs) {
        base::instant at =
            run.expected_end > now ? run.expected_end : now + overdue_remainder;
        result.push_back({at, run.need});
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    return result;
}

base::resources endpoint_state::free_at(base::instant time,
                                        base::instant now) const {
    base::resources result = free_resources();
    for (const auto& [key, run] : runs) {
        if (std::max(run.expected_end, now + overdue_remainder) <= time) {
            result += run.need;
        }
    }
    return result;
}

void endpoint_state::reserve(const base::resources& amount, base::instant start,
                             base::instant now) {
    reservations.add(start, amount, free_at(start, now) - claimed);
}

void endpoint_state::claim(const base::resources& amount) {
    claimed += amount;
    reservations.take(amount, base::instant::max());
}

endpoint_time endpoint_state::estimate_clock(base::instant now) const {
    return clock_reading + (now - clock_read_at);
}

base::instant endpoint_state::passed_by(endpoint_time time) const {
    auto remaining = time - clock_reading;
    return clock_read_at + remaining + remaining * slow_clock_percent / 100;
}

base::instant endpoint_state::lease_expiry() const {
    if (!has_clock_reading || lease_deadline.count() == 0) {
        return clock_read_at;
    }
    return passed_by(lease_deadline);
}

} // namespace eelgrasslever::cluster
