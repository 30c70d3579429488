/// @file
/// State that the parts of a node share. Each part changes only what its own
/// header says; the rest it reaches through the other parts.
#pragma once

#include "eelgrasslever/admission/queue.hpp"
#include "eelgrasslever/admission/run_estimator.hpp"
#include "eelgrasslever/dispatch/endpoint_pool.hpp"
#include "eelgrasslever/membership/membership_view.hpp"
#include "eelgrasslever/node/book.hpp"
#include "eelgrasslever/node/config.hpp"

#include <optional>

namespace eelgrasslever::node {

class intake;
class runner;
class locator;
class recorder;
class jobs;
class peering;
class configurator;

struct context {
    context(const node_config& c, effects& e)
        : config(c), out(e), fleet(c.id, c.timing, c.seed),
          roster(c.id, c.failure_domain, c.membership_timing) {}

    node_config config;
    effects& out;
    base::instant now{};
    bool draining{false};  ///< a planned stop has begun
    bool releasing{false}; ///< nobody waits here any more; claims are given up
    std::optional<bundle::document> bundle_in_force;
    dispatch::endpoint_pool fleet;
    membership::membership_view roster;
    admission::queue queue;
    admission::run_estimator estimator;
    class book book;

    class intake* intake{nullptr};
    class runner* runner{nullptr};
    class locator* locator{nullptr};
    class recorder* recorder{nullptr};
    class jobs* jobs{nullptr};
    class peering* peering{nullptr};
    class configurator* configurator{nullptr};

    /// After a pause or a silence, requests that lay in a buffer meanwhile are
    /// read; their callers may have sent them elsewhere since.
    base::instant first_marks_trusted_from{};
    void distrust_first_marks() {
        constexpr base::milliseconds catching_up{2000};
        first_marks_trusted_from = now + catching_up;
    }

    [[nodiscard]] std::int64_t unix_now_ms() const {
        return now.time_since_epoch().count() + config.unix_offset_ms;
    }
    [[nodiscard]] std::uint64_t bundle_version() const {
        return bundle_in_force ? bundle_in_force->version : 0;
    }
};

} // namespace eelgrasslever::node
