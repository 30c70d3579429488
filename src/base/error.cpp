#include "eelgrasslever/base/error.hpp"

#include <utility>

namespace eelgrasslever::base {

const char* to_string(error_code code) {
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::unreachable:
        return "unreachable";
    case error_code::refused:
        return "refused";
    case error_code::conflict:
        return "conflict";
    case error_code::not_permitted:
        return "not_permitted";
    case error_code::io:
        return "io";
    }
    return "io";
}

std::string error::message() const {
    return step + "(" + peer + "): " + to_string(code) + ": " + detail;
}

tl::unexpected<error> fail(error_code code, std::string step, std::string peer,
                           std::string detail) {
    return tl::unexpected(
        error{code, std::move(step), std::move(peer), std::move(detail)});
}

} // namespace eelgrasslever::base
