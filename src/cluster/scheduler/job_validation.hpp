// Validates jobs that clients submit.
#pragma once

#include <string>

#include "cluster/common/errors.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster::scheduling {

// Checks a job's ID and spec against the limits on sizes and counts, and that stages depend only on earlier
// stages, which rules out cycles. Fails with InvalidInput for the first violation, which names the field, its
// value and the allowed values.
leaf::result<void> validate_job(const std::string& id, const wire::JobSpec& spec);

}  // namespace winchhall::cluster::scheduling
