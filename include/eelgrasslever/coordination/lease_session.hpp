/// @file
/// This VM's lease in the store, and the keys that live as long as it does.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <functional>
#include <memory>
#include <string>

namespace eelgrasslever::coordination {

/// Holds one lease, renews it and publishes this VM under it.
class lease_session : public std::enable_shared_from_this<lease_session> {
  public:
    struct handlers {
        std::function<void()> on_granted; ///< a new lease is held
        std::function<void()> on_expired; ///< the store says it has ended
    };
    /// Lease length. Source: the store's shortest lease is 1 s; a fifth more
    /// bears a store that answers in 300 ms.
    static constexpr base::milliseconds time_to_live{1200};
    /// Four renewals within a lease, so that two may be lost.
    static constexpr base::milliseconds renewal_period{300};

    lease_session(kernel::loop& owner, store& at, std::string member_key,
            std::string member_value, handlers call);

    void start();
    void stop();
    [[nodiscard]] lease_id lease() const { return m_lease; }
    /// @return when the latest renewal that the store confirmed was sent, on
    /// the clock that also counts time in suspension.
    [[nodiscard]] base::instant confirmed_at() const { return m_confirmed_at; }

  private:
    void tick();
    void grant();
    void publish();
    void expire();

    kernel::loop& m_owner;
    store& m_store;
    std::string m_key;
    std::string m_value;
    handlers m_call;
    kernel::timer m_timer;
    lease_id m_lease{no_lease};
    bool m_granting{false};
    bool m_published{false};
    bool m_publishing{false};
    bool m_stopped{false};
    base::instant m_confirmed_at{};
};

} // namespace eelgrasslever::coordination
