// Reporting of errors to the user.
#pragma once

#include <functional>
#include <ostream>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// Runs `action` and returns its exit code. If it fails, writes one line "winchhall-cluster: KIND: DETAIL" to
// `errors` and returns the exit code for the kind of error.
int report_failures(const std::function<leaf::result<int>()>& action, std::ostream& errors);

}  // namespace winchhall::cluster
