/// @file
/// In-memory implementation of the platform's versioned key-value store.
#pragma once

#include "eelgrasslever/store/protocol.hpp"

#include <map>
#include <string>

namespace test_support {

namespace store = eelgrasslever::store;

class fake_store {
  public:
    /// Executes a call immediately.
    /// @return the VM list, the value and version of a key, or the outcome of a
    /// write: `conflict` with the current version if it is not the expected one
    store::reply serve(const store::call& call);
    void set_vm_list(const std::string& text) { m_vm_list = text; }
    [[nodiscard]] const std::string& vm_list() const { return m_vm_list; }
    /// @return the number of write calls so far, rejected ones included
    [[nodiscard]] std::uint64_t writes() const { return m_writes; }

  private:
    struct versioned_value {
        std::uint64_t version{0};
        std::string value;
    };
    std::map<std::string, versioned_value> m_values;
    std::string m_vm_list;
    std::uint64_t m_last_version{0};
    std::uint64_t m_writes{0};
};

} // namespace test_support
