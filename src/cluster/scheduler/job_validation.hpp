// Validates what clients submit.
#pragma once

#include <string>

#include "cluster/common/errors.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster::scheduling {

// Checks a job's ID and spec against the limits of size and number, and that stages depend on earlier stages
// only, which rules out cycles. Fails with InvalidInput for the first violation, naming the field, its value
// and what is allowed.
leaf::result<void> validate_job(const std::string& id, const wire::JobSpec& spec);

}  // namespace winchhall::cluster::scheduling
