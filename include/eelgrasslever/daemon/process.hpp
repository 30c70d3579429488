/// @file
/// One entry VM's process: all tasks on one loop.
#pragma once

#include "eelgrasslever/settings/settings.hpp"

namespace eelgrasslever::daemon {

/// Runs an entry VM until a signal asks it to stop.
/// @return the exit status of the process.
[[nodiscard]] int run_entry(const settings::entry_settings& settings);

} // namespace eelgrasslever::daemon
