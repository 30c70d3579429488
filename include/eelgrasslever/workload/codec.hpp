/// @file
/// JSON encoding of the job and progress records in the store.
#pragma once

#include "eelgrasslever/workload/progress.hpp"

namespace eelgrasslever::workload {

/// @return the record of a job as JSON text. It does not contain the id, which
/// is part of the key.
[[nodiscard]] std::string encode(const job& value);
/// @param text a record written by `encode`.
/// @param id job id, taken from the key.
/// @return the job, or an invalid_argument error if @p text is malformed. The
/// limits in `validate` are not checked.
[[nodiscard]] base::result<job> decode_job(const std::string& text,
                                           const std::string& id);
/// @return the progress record of a job as JSON text.
[[nodiscard]] std::string encode(const progress& value);
/// @param text a record written by `encode`.
/// @param id job id; only used in error messages.
/// @return the progress, or an invalid_argument error if @p text is malformed.
[[nodiscard]] base::result<progress> decode_progress(const std::string& text,
                                                     const std::string& id);

} // namespace eelgrasslever::workload
