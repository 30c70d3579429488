/// @file
/// The process of an entry VM: all tasks on one event loop.
#pragma once

#include "eelgrasslever/settings/settings.hpp"

namespace eelgrasslever::daemon {

/// Runs an entry VM. On SIGTERM or SIGINT it drains and exits.
/// @return the exit status of the process.
[[nodiscard]] int run_entry(const settings::entry_settings& settings);

} // namespace eelgrasslever::daemon
