/// @file
/// Accounts the time that one thread spends on each kind of work.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <utility>

namespace eelgrasslever::observe {

/// @tparam Kind an enumeration whose last value is `count`.
template <typename Kind>
class work_meter {
  public:
    using clock = std::chrono::steady_clock;
    struct usage {
        std::chrono::microseconds total{0};
        std::chrono::microseconds longest{0}; ///< of one piece of work
        std::size_t pieces{0};
    };
    using usages = std::array<usage, static_cast<std::size_t>(Kind::count)>;

    /// Measures the time from its construction to its destruction.
    class scope {
      public:
        scope(work_meter& meter, Kind kind)
            : m_meter(meter), m_kind(kind), m_started_at(clock::now()) {}
        ~scope() {
            m_meter.add(m_kind,
                        std::chrono::duration_cast<std::chrono::microseconds>(
                            clock::now() - m_started_at));
        }
        scope(const scope&) = delete;
        scope& operator=(const scope&) = delete;

      private:
        work_meter& m_meter;
        Kind m_kind;
        clock::time_point m_started_at;
    };

    void add(Kind kind, std::chrono::microseconds duration) {
        usage& row = m_usages[static_cast<std::size_t>(kind)];
        row.total += duration;
        row.longest = std::max(row.longest, duration);
        row.pieces++;
    }
    /// @return the usage of each kind since the previous call.
    [[nodiscard]] usages take() { return std::exchange(m_usages, {}); }

  private:
    usages m_usages{};
};

} // namespace eelgrasslever::observe
