/// @file
/// The bundle in force and the VM list: read from the platform by one member
/// of each FD, relayed to the others, never stepping back.
#pragma once

#include "eelgrasslever/membership/vm_list.hpp"
#include "eelgrasslever/node/context.hpp"

#include <functional>

namespace eelgrasslever::node {

inline constexpr const char* bundle_head_key = "bundle/head";

class configurator {
  public:
    explicit configurator(context& shared) : m_context(shared) {}

    /// Applies a bundle if it is signed and newer than the one in force.
    /// @param source names where it came from, for the log.
    base::result<void> update_bundle(const std::string& text,
                                     const std::string& source);
    void update_vm_list(const std::string& text, const std::string& source);

    /// Writes a signed bundle to the store, expecting the version before it.
    /// @param done gets nothing, or the error with the winner's version.
    void roll_out(const std::string& text,
                  std::function<void(base::result<void>)> done);

    void on_document(const wire::document& document);
    /// Sends @p member what it lacks.
    void send_missing_documents(const std::string& member,
                                std::uint64_t bundle_version,
                                std::uint64_t list_version);

    void advance();
    void on_reply(const store::call& call, const store::reply& reply);

    /// Shares the quotas out again after a change of members.
    void redistribute_quotas();

    [[nodiscard]] const membership::vm_list& vms() const { return m_vm_list; }
    [[nodiscard]] const std::string& bundle_text() const {
        return m_bundle_text;
    }
    [[nodiscard]] bool platform_reached() const;
    [[nodiscard]] bool has_vm_list() const { return m_vm_list.version > 0; }
    [[nodiscard]] const std::set<std::string>& domain_endpoints() const {
        return m_domain_endpoints;
    }

  private:
    struct rollout {
        std::string text;
        std::uint64_t version{0};
        std::function<void(base::result<void>)> done;
        bool uncertain{false}; ///< a write was sent and its reply lost
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
    std::string m_bundle_text; ///< envelope of the bundle in force
    std::uint64_t m_head_store_version{store::absent};
    membership::vm_list m_vm_list;
    std::string m_vm_list_text;
    std::set<std::string> m_domain_endpoints;
    bool m_head_in_flight{false};
    bool m_list_in_flight{false};
    base::instant m_next_head_read{};
    base::instant m_next_list_read{};
    base::instant m_last_contact{};
    bool m_was_contacted{false};
    std::vector<rollout> m_rollouts;
    bool m_write_in_flight{false};
    int m_last_share_count{0};
    int m_last_share_index{-1};
};

} // namespace eelgrasslever::node
