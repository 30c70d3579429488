/// @file
/// Estimates run times from finished tasks, because declared run times are
/// often far off.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <map>
#include <string>

namespace eelgrasslever::admission {

/// Keeps exponential moving averages for each team and kind of work.
class run_estimator {
  public:
    /// Adds the run time of one finished task to the averages.
    /// @param declared the run time that the caller declared; 0 if none.
    /// @param ran the measured run time.
    void observe(const std::string& team, const std::string& kind,
                 base::milliseconds declared, base::milliseconds ran);

    /// @param declared the run time that the caller declares; 0 if none.
    /// @return the expected run time of the next task of this team and kind:
    /// @p declared times the average ratio of measured to declared run times,
    /// or the average run time if none is declared. Without any observation,
    /// @p declared itself.
    [[nodiscard]] base::milliseconds
    estimate(const std::string& team, const std::string& kind,
             base::milliseconds declared) const;

  private:
    struct run_statistics {
        double ratio{1.0};   ///< average of measured over declared run time
        double mean_ms{0.0}; ///< average measured run time
        int count{0};        ///< observed tasks
    };
    std::map<std::string, run_statistics> m_statistics; ///< by work_key()
};

} // namespace eelgrasslever::admission
