/// @file
/// Keeps the active bundle and the VM list up to date: one member of each FD
/// watches the platform and relays both to the others. Versions only increase.
#pragma once

#include "eelgrasslever/membership/vm_list.hpp"
#include "eelgrasslever/node/context.hpp"

#include <functional>

namespace eelgrasslever::node {

/// Store key of the newest bundle.
inline constexpr const char* bundle_head_key = "bundle/head";

class configurator {
  public:
    explicit configurator(context& shared) : m_context(shared) {}

    /// Activates a bundle if its signatures are valid and it is newer than the
    /// active one; an older one is ignored without an error.
    /// @param text the signed envelope.
    /// @param source where the text came from, for the log.
    /// @return an error if the envelope is malformed or not validly signed.
    base::result<void> update_bundle(const std::string& text,
                                     const std::string& source);
    /// Applies a VM list that is newer than the present one. A malformed list
    /// is logged and ignored.
    void update_vm_list(const std::string& text, const std::string& source);

    /// Writes a signed bundle to the store if its version directly follows the
    /// stored one.
    /// @param done called once with success, or with `conflict` and the version
    /// that is active, with `unreachable` when the store does not answer,
    /// or with an error if the envelope is malformed or not validly signed.
    void roll_out(const std::string& text,
                  std::function<void(base::result<void>)> done);

    /// Handles a bundle or VM list relayed by a peer.
    void on_document(const wire::document& document);
    /// Sends @p member the bundle and the VM list if its versions are older.
    void send_missing_documents(const std::string& member,
                                std::uint64_t bundle_version,
                                std::uint64_t list_version);

    /// Starts the store reads that are due and fails overdue rollouts.
    void advance();
    void on_reply(const store::call& call, const store::reply& reply);

    /// Recomputes this member's share of every team's quota if the number of
    /// members has changed.
    void redistribute_quotas();

    [[nodiscard]] const membership::vm_list& vms() const { return m_vm_list; }
    [[nodiscard]] const std::string& bundle_text() const {
        return m_bundle_text;
    }
    /// @return whether the store answered recently.
    [[nodiscard]] bool platform_reached() const;
    [[nodiscard]] bool has_vm_list() const { return m_vm_list.version > 0; }
    /// @return names of the listed endpoints of this VM's FD.
    [[nodiscard]] const std::set<std::string>& domain_endpoints() const {
        return m_domain_endpoints;
    }

  private:
    struct rollout {
        std::string text;
        std::uint64_t version{0};
        std::function<void(base::result<void>)> done;
        bool uncertain{false}; ///< a write was sent and its reply was lost
        base::instant times_out_at{};
    };
    [[nodiscard]] bool is_platform_reader() const;
    void apply_vm_list();
    void on_bundle_head(const store::reply& reply);
    void on_rollout_write(const store::reply& reply);
    void continue_rollout(const std::string& head_text,
                          std::uint64_t head_version);
    void finish_rollout(base::result<void> result);
    void read_bundle_head();

    context& m_context;
    std::string m_bundle_text; ///< envelope of the active bundle
    std::uint64_t m_head_store_version{store::absent};
    membership::vm_list m_vm_list;
    std::string m_vm_list_text;
    std::set<std::string> m_domain_endpoints;
    bool m_head_in_flight{false};
    bool m_list_in_flight{false};
    base::instant m_next_head_read{};
    base::instant m_next_list_read{};
    base::instant m_last_contact{};
    bool m_has_contacted_platform{false};
    std::vector<rollout> m_rollouts;
    bool m_write_in_flight{false};
    int m_last_member_count{0};
    int m_last_member_index{-1};
};

} // namespace eelgrasslever::node
