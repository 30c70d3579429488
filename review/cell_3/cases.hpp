/// @file
/// The courses of the cases, by the numbers of their folders.
#pragma once

#include "cell.hpp"

namespace review::cell {

enum class verdict { held = 0, broken = 1, not_run = 2 };

/// @param trouble whether the disruption of the case happens.
using course_of_case = verdict (*)(deployment& cell, bool trouble);

/// @return the course of a case, or nullptr.
[[nodiscard]] course_of_case find_case(const std::string& name);

} // namespace review::cell
