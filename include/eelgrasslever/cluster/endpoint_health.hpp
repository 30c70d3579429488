/// @file
/// Judges endpoints by how their runs end, against the rest of the fleet.
///
/// Answers endpoints that fail all that they start, or on which work stands
/// still, while their own reports are good.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <string>
#include <unordered_map>

namespace eelgrasslever::cluster {

class endpoint_health {
  public:
    /// Failures in a row after which an endpoint is set aside. Source: with a
    /// tenth of runs failing by their own fault, three in a row come once in a
    /// thousand runs.
    static constexpr int failures_to_suspect = 3;
    /// How long it is set aside at first; doubled each time.
    static constexpr base::milliseconds first_rest{2000};
    static constexpr base::milliseconds longest_rest{16000};

    void on_done(const std::string& endpoint);
    /// @param failed_elsewhere whether the same task failed before, which
    /// speaks against the task.
    void on_failed(const std::string& endpoint, bool failed_elsewhere,
                   base::instant now);
    /// A run made no progress for too long.
    void on_stalled(const std::string& endpoint, base::instant now);
    void forget(const std::string& endpoint);

    /// @return whether the endpoint is set aside at @p now.
    [[nodiscard]] bool suspected(const std::string& endpoint,
                                 base::instant now) const;

  private:
    struct record {
        int failures_in_a_row{0};
        base::milliseconds rest{0};
        base::instant rest_until{};
    };
    void suspect(const std::string& endpoint, const char* why,
                 base::instant now);
    std::unordered_map<std::string, record> m_records;
};

} // namespace eelgrasslever::cluster
