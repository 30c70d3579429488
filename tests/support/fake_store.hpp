/// @file
/// The platform's store in memory, for tests of decisions.
#pragma once

#include "eelgrasslever/store/protocol.hpp"

#include <map>
#include <string>

namespace test_support {

namespace store = eelgrasslever::store;

class fake_store {
  public:
    /// Serves a read or a write at once.
    store::reply serve(const store::call& call);
    void set_vm_list(const std::string& text) { m_vm_list = text; }
    [[nodiscard]] const std::string& vm_list() const { return m_vm_list; }
    [[nodiscard]] std::uint64_t writes() const { return m_writes; }

  private:
    struct slot {
        std::uint64_t version{0};
        std::string value;
    };
    std::map<std::string, slot> m_slots;
    std::string m_vm_list;
    std::uint64_t m_last_version{0};
    std::uint64_t m_writes{0};
};

} // namespace test_support
