/// @file
/// The stored form of jobs and their progress: JSON.
#pragma once

#include "eelgrasslever/workload/progress.hpp"

namespace eelgrasslever::workload {

[[nodiscard]] std::string encode(const job& value);
[[nodiscard]] base::result<job> decode_job(const std::string& text,
                                           const std::string& id);
[[nodiscard]] std::string encode(const progress& value);
[[nodiscard]] base::result<progress> decode_progress(const std::string& text,
                                                     const std::string& id);

} // namespace eelgrasslever::workload
