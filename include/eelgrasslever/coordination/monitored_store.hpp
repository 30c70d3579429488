/// @file
/// Store decorator that detects from the outcomes of calls whether the store
/// is reachable.
#pragma once

#include "eelgrasslever/coordination/store.hpp"

#include <set>

namespace eelgrasslever::coordination {

class monitored_store final : public store {
  public:
    /// The store counts as unreachable when a call has had no reply for this
    /// long and no call has succeeded since that call was sent. The store
    /// answers in 4 ms, and in about 300 ms when it is slow.
    static constexpr base::milliseconds max_silence{500};

    explicit monitored_store(store& inner) : m_inner(inner) {}

    [[nodiscard]] bool reachable(base::instant now) const;
    /// @return the time since the last successful call; 0 if the store is
    /// reachable.
    [[nodiscard]] base::milliseconds unreachable_for(base::instant now) const;
    /// @return the end of the latest outage.
    [[nodiscard]] base::instant recovered_at() const { return m_recovered_at; }

    void read(const std::string& key,
              std::function<void(const read_reply&)> done) override;
    void read_page(const std::string& prefix, const std::string& after,
                   std::function<void(const page_reply&)> done) override;
    void watch(const std::string& prefix, revision after,
               base::milliseconds wait,
               std::function<void(const watch_reply&)> done) override;
    void commit(const transaction& change,
                std::function<void(const commit_reply&)> done) override;
    void grant(base::milliseconds time_to_live,
               std::function<void(const lease_reply&)> done) override;
    void renew(lease_id lease, std::function<void(status)> done) override;
    void revoke(lease_id lease) override;

  private:
    /// Wraps @p done so that the status of the reply is recorded first.
    template <typename Reply>
    std::function<void(const Reply&)>
    track(std::function<void(const Reply&)> done);
    void record_result(base::instant sent, status result);

    store& m_inner;
    std::multiset<base::instant> m_open_calls; ///< when each was sent
    base::instant m_last_success{};
    base::instant m_last_failure{};
    base::instant m_recovered_at{};
};

} // namespace eelgrasslever::coordination
