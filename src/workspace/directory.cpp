#include "eelgrasslever/workspace/directory.hpp"

#include <algorithm>
#include <cctype>
#include <sodium.h>
#include <utility>

namespace eelgrasslever::workspace {

namespace {

/// Part of the bound that is left for clocks that differ in rate (2% at most)
/// and for their resolution.
constexpr int validity_margin_percent = 10;
constexpr std::size_t fingerprint_bytes = 4;

} // namespace

directory::directory() {
    // The first call selects an implementation; it can't fail for hashing.
    [[maybe_unused]] int initialised = sodium_init();
    randombytes_buf(m_secret.data(), m_secret.size());
}

directory::directory(std::vector<policy> policies) : directory() {
    for (policy& next : policies) {
        auto keys = std::exchange(next.keys, {});
        std::string name = next.name;
        policy& stored = m_policies[name] = std::move(next);
        for (const std::string& key : keys) {
            m_by_key[digest_of(key)] = &stored;
        }
    }
}

const policy* directory::find(const std::string& name) const {
    auto found = m_policies.find(name);
    return found == m_policies.end() ? nullptr : &found->second;
}

directory::digest directory::digest_of(std::string_view key) const {
    digest result{};
    crypto_generichash(result.data(), result.size(),
                       reinterpret_cast<const unsigned char*>(key.data()),
                       key.size(), m_secret.data(), m_secret.size());
    return result;
}

const policy* directory::find_by_key(std::string_view key) const {
    auto found = m_by_key.find(digest_of(key));
    return found == m_by_key.end() ? nullptr : found->second;
}

std::string directory::fingerprint(std::string_view key) const {
    digest whole = digest_of(key);
    std::array<char, 2 * fingerprint_bytes + 1> text{};
    sodium_bin2hex(text.data(), text.size(), whole.data(), fingerprint_bytes);
    return text.data();
}

std::optional<std::string_view> bearer_key(std::string_view header) {
    constexpr std::string_view scheme = "bearer ";
    if (header.size() <= scheme.size()) {
        return std::nullopt;
    }
    bool matches = std::equal(scheme.begin(), scheme.end(), header.begin(),
                              [](char expected, char found) {
                                  auto byte = static_cast<unsigned char>(found);
                                  return std::tolower(byte) == expected;
                              });
    if (!matches) {
        return std::nullopt;
    }
    return header.substr(scheme.size());
}

bool configuration_validity::is_valid(base::instant proven_at,
                                      base::instant now) const {
    return !m_bound ||
           now - proven_at < *m_bound * (100 - validity_margin_percent) / 100;
}

} // namespace eelgrasslever::workspace
