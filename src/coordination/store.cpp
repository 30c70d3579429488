#include "eelgrasslever/coordination/store.hpp"

namespace eelgrasslever::coordination {

const char* to_string(status value) {
    switch (value) {
    case status::ok:
        return "ok";
    case status::conflict:
        return "conflict";
    case status::not_found:
        return "not_found";
    case status::refused:
        return "refused";
    case status::history_lost:
        return "history_lost";
    case status::unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace eelgrasslever::coordination
