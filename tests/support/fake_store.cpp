#include "fake_store.hpp"

namespace test_support {

store::reply fake_store::serve(const store::call& call) {
    store::reply reply;
    reply.result = store::status::ok;
    if (call.kind == store::call_kind::vm_list) {
        reply.value = m_vm_list;
        return reply;
    }
    versioned_value& stored = m_values[call.key];
    if (call.kind == store::call_kind::read) {
        reply.version = stored.version;
        reply.value = stored.value;
        return reply;
    }
    m_writes++;
    if (stored.version != call.expected_version) {
        reply.result = store::status::conflict;
        reply.version = stored.version;
        return reply;
    }
    stored.version = ++m_last_version;
    stored.value = call.value;
    reply.version = stored.version;
    return reply;
}

} // namespace test_support
