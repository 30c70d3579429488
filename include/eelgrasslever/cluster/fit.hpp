/// @file
/// Pure choice of endpoints for the tasks of one step.
#pragma once

#include "eelgrasslever/base/resources.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace eelgrasslever::cluster {

/// An endpoint that may run the step, with the room that the step may use.
struct fit_candidate {
    std::string_view endpoint; ///< valid as long as the endpoint is known
    std::string_view rack;
    base::resources room;
    int slots_left{0};    ///< tasks of the step that may still go there
    bool preferred{true}; ///< near the data, and not kept for a gang
};

/// @return how many tasks of @p need fit into @p room, at most @p limit.
[[nodiscard]] int tasks_that_fit(const base::resources& need,
                                 const base::resources& room, int limit);

/// Places as many of @p count tasks as fit, each where the least room is left
/// over, so that large rooms remain for wide tasks.
/// @return an index into @p candidates for each task placed.
[[nodiscard]] std::vector<std::size_t>
fit_each(const base::resources& need, int count,
         std::vector<fit_candidate> candidates);

/// Places all of @p count tasks or none, on as few endpoints as possible.
/// @param one_rack use a single rack where one has the room.
[[nodiscard]] std::vector<std::size_t>
fit_together(const base::resources& need, int count,
             const std::vector<fit_candidate>& candidates, bool one_rack);

} // namespace eelgrasslever::cluster
