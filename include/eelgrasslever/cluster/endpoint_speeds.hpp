/// @file
/// Estimates how fast each endpoint runs tasks, relative to the others.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <string>
#include <unordered_map>

namespace eelgrasslever::cluster {

enum class speed_class { slow, usual, fast };

/// Compares the durations of runs with the estimates of their steps. Estimates
/// are rough, and some queues' are wrong in one direction, so each run is
/// compared with the usual ratio of its queue, and few runs say little.
class endpoint_speeds {
  public:
    /// Takes in a run that was carried out from its beginning to its end, and
    /// whose end did not depend on other runs.
    void add_run(const std::string& endpoint, const std::string& queue,
                 base::milliseconds estimated, base::milliseconds ran);
    /// Forgets an endpoint, whose next life may be on other hardware.
    void forget(const std::string& endpoint);
    /// Compares the endpoints with one another. Until the next call,
    /// `class_of` and `factor_of` go by this comparison.
    void compare();

    /// @return whether the endpoints differ so much that it matters where work
    /// is placed. In an even fleet all are `usual`.
    [[nodiscard]] bool is_uneven() const { return m_is_uneven; }
    [[nodiscard]] speed_class class_of(const std::string& endpoint) const;
    /// @return the endpoint's speed relative to the median one; 1 if the fleet
    /// is even or the endpoint isn't known well enough.
    [[nodiscard]] double factor_of(const std::string& endpoint) const;

  private:
    /// A mean that forgets old values.
    struct mean {
        double sum{0.0};
        double weight{0.0};
        void add(double value, double max_weight);
        [[nodiscard]] double value() const;
    };
    std::unordered_map<std::string, mean> m_queues; ///< usual log ratios
    std::unordered_map<std::string, mean> m_endpoints;
    double m_median{0.0}; ///< of the endpoints' log speeds
    bool m_is_uneven{false};
};

} // namespace eelgrasslever::cluster
