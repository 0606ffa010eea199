// Tells failures on a stream and turns them into exit codes.
#pragma once

#include <functional>
#include <ostream>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// Runs `action`; its exit code, or the one of its failure, which is then told on `errors` with its type.
int report_failures(const std::function<leaf::result<int>()>& action, std::ostream& errors);

}  // namespace winchhall::cluster
