/// @file
/// Which share of its work each queue starts in time, and how to order the
/// queues so that the shares become equal.
#pragma once

#include "eelgrasslever/base/time.hpp"

#include <map>
#include <string>

namespace eelgrasslever::cluster {

/// Max-min fairness under overload: a queue of which less is started in time
/// than of the others is served earlier, and the others later.
class service_shares {
  public:
    /// @param work any measure that is the same for all queues.
    void add_started(const std::string& queue, double work, base::instant now);
    /// Records work that can't meet its objective any more.
    void add_missed(const std::string& queue, double work, base::instant now);
    /// @return the share of the recent work that was started in time.
    [[nodiscard]] double share_of(const std::string& queue) const;
    /// @return how much earlier than by its own objective the queue's work is
    /// to be served; negative: later.
    [[nodiscard]] base::milliseconds lead_of(const std::string& queue) const;

  private:
    struct record {
        double started{0.0};
        double missed{0.0};
        base::instant updated_at{};
        [[nodiscard]] double share() const;
    };
    record& decayed(const std::string& queue, base::instant now);
    std::map<std::string, record> m_records;
};

} // namespace eelgrasslever::cluster
