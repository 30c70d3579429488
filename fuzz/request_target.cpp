// Fuzzes the parser of callers' requests.
#include "targets.hpp"

#include "eelgrasslever/admission/request.hpp"
#include "eelgrasslever/base/json.hpp"

namespace fuzz {

target request_target() {
    auto run = [](const std::string& input) {
        auto body = eelgrasslever::base::parse_object(input, "fuzz", "fuzz");
        if (body) {
            auto parsed = eelgrasslever::admission::parse_request(
                *body, input.substr(0, 20));
            (void)parsed;
        }
    };
    return {"request",
            run,
            {R"({"team":"a","kind":"gang","tasks":4,"slots":2,"attempt":3})",
             R"({"team":"a","run_ms":70,"repeatable":false,"payload":"x"})"}};
}

} // namespace fuzz
