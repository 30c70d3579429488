/// @file
/// Passes calls on to a store and judges from their outcomes whether it can be
/// reached.
#pragma once

#include "eelgrasslever/coordination/store.hpp"

#include <set>

namespace eelgrasslever::coordination {

class monitored_store final : public store {
  public:
    /// A call without a reply for this long makes the store count as away
    /// unless another call got through meanwhile. Source: the store answers
    /// in 4 ms, and in about 300 ms when it is slow.
    static constexpr base::milliseconds max_silence{500};

    explicit monitored_store(store& inner) : m_inner(inner) {}

    [[nodiscard]] bool reachable(base::instant now) const;
    /// @return for how long the store has been away; 0 where it is reachable.
    [[nodiscard]] base::milliseconds unreachable_for(base::instant now) const;
    /// @return when the latest outage ended.
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
    /// Wraps @p done so that its reply is taken in.
    template <typename Reply>
    std::function<void(const Reply&)>
    tracked(std::function<void(const Reply&)> done);
    void take(base::instant sent, status result);

    store& m_inner;
    std::multiset<base::instant> m_pending; ///< when each open call was sent
    base::instant m_last_good{};
    base::instant m_last_bad{};
    base::instant m_recovered_at{};
};

} // namespace eelgrasslever::coordination
