/// @file
/// The lease of this VM in the store, to which its member key is attached.
#pragma once

#include "eelgrasslever/coordination/store.hpp"
#include "eelgrasslever/kernel/loop.hpp"

#include <functional>
#include <memory>
#include <string>

namespace eelgrasslever::coordination {

/// Acquires a lease, renews it, and writes the member key of this VM under it.
/// Acquires a new lease when the lease has expired.
class lease_session : public std::enable_shared_from_this<lease_session> {
  public:
    struct handlers {
        std::function<void()> on_granted;
        std::function<void()> on_expired; ///< the store has ended the lease
    };
    /// The store's shortest lease is 1 s; the additional 20% allow for a store
    /// that takes 300 ms to answer.
    static constexpr base::milliseconds time_to_live{1200};
    /// Four renewals per lease, so that two of them may be lost.
    static constexpr base::milliseconds renewal_period{300};

    lease_session(kernel::loop& owner, store& store, std::string member_key,
                  std::string member_value, handlers handlers);

    void start();
    /// Revokes the lease, which removes the member key.
    void stop();
    /// Replaces the value of the member key, also under later leases.
    void set_member_value(std::string value);
    /// @return the current lease, or `no_lease`.
    [[nodiscard]] lease_id lease() const { return m_lease; }
    /// @return when the latest grant or renewal that the store confirmed was
    /// sent, on the clock of `base::uptime_now`, which advances during system
    /// suspension.
    [[nodiscard]] base::instant renewal_sent_at() const {
        return m_renewal_sent_at;
    }

  private:
    void renew();
    void acquire();
    void write_member_key();
    void on_expired();

    kernel::loop& m_owner;
    store& m_store;
    std::string m_member_key;
    std::string m_member_value;
    handlers m_handlers;
    kernel::timer m_timer;
    lease_id m_lease{no_lease};
    bool m_acquiring{false};
    bool m_member_key_written{false};
    bool m_writing_member_key{false};
    bool m_stopped{false};
    base::instant m_renewal_sent_at{};
};

} // namespace eelgrasslever::coordination
