// Checks of what clients hand in.
#pragma once

#include <string>

#include "cluster/common/errors.hpp"
#include "cluster/wire/cluster.pb.h"

namespace winchhall::cluster::scheduling {

// Errors: InvalidInput.
leaf::result<void> validate_job(const std::string& id, const wire::JobSpec& spec);

}  // namespace winchhall::cluster::scheduling
