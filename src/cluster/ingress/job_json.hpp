// Reads the body of a submitted job (JSON) into its message, checking every value.
#pragma once

#include <string_view>

#include "cluster/common/errors.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Largest `spec` in bytes.
inline constexpr std::size_t kMaxSpecBytes = 4000;
// Digits of a job's ID.
inline constexpr std::size_t kJobIdDigits = 16;

// Unknown fields are ignored, missing ones are zero, false or empty. Errors: InvalidInput.
leaf::result<wire::JobSpec> parse_job(std::string_view body);

// True for 16 hexadecimal digits.
bool is_job_id(std::string_view text);

}  // namespace winchhall::cluster
