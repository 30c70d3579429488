/// @file
/// Assigns the tasks of one step to endpoints by their available resources.
/// The functions have no side effects.
#pragma once

#include "eelgrasslever/base/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace eelgrasslever::cluster {

/// An endpoint that may run the step, with the resources available to it.
struct fit_candidate {
    std::string_view endpoint; ///< valid while the endpoint is in the table
    std::string_view rack;
    base::resources available;
    int max_tasks{0};        ///< tasks of the step that it may still take
    bool preferred{true};    ///< near the step's data
    base::resources idle;    ///< what would be available if nothing ran there
    std::uint32_t number{0}; ///< of the endpoint within the leadership
    /// How well the endpoint's speed suits the step; of preferred endpoints,
    /// those with a higher value come first.
    int speed_preference{0};
};

/// @return how many tasks of @p need fit into @p available, at most @p limit.
[[nodiscard]] int tasks_that_fit(const base::resources& need,
                                 const base::resources& available, int limit);

/// @return the largest share of @p total that @p amount takes of any kind of
/// resource; kinds of which there is none in total don't count.
[[nodiscard]] double dominant_share(const base::resources& amount,
                                    const base::resources& total);

/// Best-fit placement: assigns as many of @p count tasks as possible, each to
/// the endpoint with the least available processors, so that large free
/// capacities remain for wide tasks.
/// @return an index into @p candidates for each task assigned.
[[nodiscard]] std::vector<std::size_t>
assign_best_fit(const base::resources& need, int count,
                std::vector<fit_candidate> candidates);

/// Assigns all of @p count tasks or none, to as few endpoints as possible. The
/// endpoints have the same speed preference if they can: a gang is as slow as
/// its slowest member, and its place on a faster endpoint is half wasted.
/// @param one_rack use a single rack if one has enough capacity.
/// @return an index into @p candidates for each task; empty if they don't fit.
[[nodiscard]] std::vector<std::size_t>
assign_gang(const base::resources& need, int count,
            const std::vector<fit_candidate>& candidates, bool one_rack);

} // namespace eelgrasslever::cluster
