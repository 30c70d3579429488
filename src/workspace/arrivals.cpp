#include "eelgrasslever/workspace/arrivals.hpp"

#include <algorithm>
#include <iterator>

namespace eelgrasslever::workspace {

namespace {

/// Acceptances are kept for this many windows, as VMs' clocks differ and a new
/// leader learns of old jobs last.
constexpr int windows_kept = 4;

} // namespace

bool arrivals::add(const std::string& workspace, time accepted_at,
                   double weight) {
    if (workspace.empty() || weight <= 0.0) {
        return false;
    }
    auto& times = m_within_rate[workspace];
    double allowance =
        std::max(1.0, weight * std::chrono::duration<double>(window).count());
    auto first = times.upper_bound(accepted_at - window);
    auto last = times.upper_bound(accepted_at);
    if (static_cast<double>(std::distance(first, last)) >= allowance) {
        return true;
    }
    times.insert(accepted_at);
    times.erase(times.begin(),
                times.lower_bound(*times.rbegin() - windows_kept * window));
    return false;
}

} // namespace eelgrasslever::workspace
