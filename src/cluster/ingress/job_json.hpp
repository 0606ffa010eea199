// Parsing and validation of submitted jobs (JSON).
#pragma once

#include <string_view>

#include "cluster/common/errors.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster {

// Maximum length of `spec` and of the other strings of a job, in bytes.
inline constexpr std::size_t kMaxSpecBytes = 4000;
// Number of digits of a job's ID.
inline constexpr std::size_t kJobIdDigits = 16;

// Parses the body of a submission. Unknown fields are ignored; missing ones are zero, false or empty. Errors:
// InvalidInput that names the field.
leaf::result<wire::JobSpec> parse_job(std::string_view body);

// Whether the text has the form of a job's ID: 16 hexadecimal digits.
bool is_job_id(std::string_view text);

}  // namespace winchhall::cluster
