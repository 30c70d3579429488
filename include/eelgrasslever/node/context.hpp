/// @file
/// State shared by the components of a node. A component modifies only the
/// state that its own header names and uses the other components for everything
/// else.
#pragma once

#include "eelgrasslever/admission/queue.hpp"
#include "eelgrasslever/admission/run_estimator.hpp"
#include "eelgrasslever/dispatch/endpoint_pool.hpp"
#include "eelgrasslever/membership/membership_view.hpp"
#include "eelgrasslever/node/config.hpp"
#include "eelgrasslever/node/request_table.hpp"

#include <optional>

namespace eelgrasslever::node {

class request_handler;
class task_runner;
class locator;
class intent_recorder;
class job_coordinator;
class peering;
class configurator;

/// State and components of one node.
struct context {
    context(const node_config& c, class effects& e)
        : config(c), effects(e), endpoint_pool(c.id, c.timing, c.seed),
          membership_view(c.id, c.failure_domain, c.membership_timing) {}

    node_config config;
    class effects& effects;
    base::instant now{};
    bool draining{false}; ///< a planned stop has begun
    /// No caller or member waits any more while draining; claims are released.
    bool releasing_claims{false};
    std::optional<bundle::document> active_bundle;
    dispatch::endpoint_pool endpoint_pool;
    membership::membership_view membership_view;
    admission::queue queue;
    admission::run_estimator estimator;
    class request_table requests;

    class request_handler* request_handler{nullptr};
    class task_runner* task_runner{nullptr};
    class locator* locator{nullptr};
    class intent_recorder* intent_recorder{nullptr};
    class job_coordinator* job_coordinator{nullptr};
    class peering* peering{nullptr};
    class configurator* configurator{nullptr};

    /// After a pause of this process or of its links, requests may be read that
    /// were buffered meanwhile and that their callers have since sent to
    /// another member. The attempt mark `first` is ignored until this time.
    base::instant first_marks_trusted_from{};
    void distrust_first_marks() {
        constexpr base::milliseconds catch_up_time{2000};
        first_marks_trusted_from = now + catch_up_time;
    }

    [[nodiscard]] std::int64_t unix_now_ms() const {
        return now.time_since_epoch().count() + config.unix_offset_ms;
    }
    [[nodiscard]] std::uint64_t bundle_version() const {
        return active_bundle ? active_bundle->version : 0;
    }
};

} // namespace eelgrasslever::node
