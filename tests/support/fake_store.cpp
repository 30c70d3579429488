#include "fake_store.hpp"

namespace test_support {

store::reply fake_store::serve(const store::call& call) {
    store::reply out;
    out.result = store::status::ok;
    if (call.kind == store::call_kind::vm_list) {
        out.value = m_vm_list;
        return out;
    }
    slot& at = m_slots[call.key];
    if (call.kind == store::call_kind::read) {
        out.version = at.version;
        out.value = at.value;
        return out;
    }
    m_writes++;
    if (at.version != call.expected_version) {
        out.result = store::status::conflict;
        out.version = at.version;
        return out;
    }
    at.version = ++m_last_version;
    at.value = call.value;
    out.version = at.version;
    return out;
}

} // namespace test_support
