/// @file
/// The workspaces of a configuration: who may call, and how much each may run.
#pragma once

#include "eelgrasslever/base/resources.hpp"
#include "eelgrasslever/base/time.hpp"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrasslever::workspace {

struct policy {
    std::string name;
    /// Jobs per second that count as the workspace's share when room is short.
    double weight{0.0};
    /// What its tasks may use at the same time; 0: not limited.
    base::resources cap;
    std::vector<std::string> keys; ///< its callers' API keys

    friend bool operator==(const policy&, const policy&) = default;
};

/// One version of the workspaces, with an index of their keys. Keys are held
/// and compared as keyed digests, so neither a look-up's duration nor a log
/// line shows any part of a key.
class directory {
  public:
    directory();
    /// @param policies workspaces of which the later one holds a key that two
    /// of them name.
    explicit directory(std::vector<policy> policies);
    directory(const directory&) = delete;
    directory& operator=(const directory&) = delete;

    /// @return whether there are no workspaces. Calls then need no key.
    [[nodiscard]] bool empty() const { return m_policies.empty(); }
    [[nodiscard]] const policy* find(const std::string& name) const;
    /// @return the workspace of @p key, or nullptr if no workspace has it.
    [[nodiscard]] const policy* find_by_key(std::string_view key) const;
    /// @return a short digest of @p key for log lines. It differs between
    /// processes.
    [[nodiscard]] std::string fingerprint(std::string_view key) const;
    /// @return the workspaces by name, without their keys.
    [[nodiscard]] const std::map<std::string, policy>& policies() const {
        return m_policies;
    }

  private:
    static constexpr std::size_t digest_bytes = 32;
    using digest = std::array<unsigned char, digest_bytes>;
    [[nodiscard]] digest digest_of(std::string_view key) const;

    digest m_secret{}; ///< of this process; keys the digests
    std::map<std::string, policy> m_policies;
    std::map<digest, const policy*> m_by_key;
};

/// @return the key in an Authorization header of the form "Bearer KEY", or
/// nothing if @p header has another form.
[[nodiscard]] std::optional<std::string_view>
bearer_key(std::string_view header);

/// How long a configuration may decide about keys or routes after it was last
/// known to be the newest one.
class configuration_validity {
  public:
    /// @param bound time within which a change must be in force on every VM;
    /// unset: a configuration is valid until the next one arrives.
    explicit configuration_validity(std::optional<base::milliseconds> bound)
        : m_bound(bound) {}

    /// @param proven_at when the read was sent that showed the configuration
    /// to be the newest, on a clock that counts suspended time.
    /// @param now on the same clock.
    [[nodiscard]] bool is_valid(base::instant proven_at,
                                base::instant now) const;

  private:
    std::optional<base::milliseconds> m_bound;
};

} // namespace eelgrasslever::workspace
