// Sub-command `store`: maintenance of the store of a control node that is not running.
//   store check DIR                   verifies the store; exit code 0: valid, 1: corrupt
//   store show DIR [--prefix P]       prints one line for each entry
//   store backup DIR FILE             writes a backup
//   store restore FILE DIR [--address IP:PORT] [--http IP:PORT]
//                                     creates a store for a NEW group of one member from a backup. The
//                                     addresses are those of the restored node; default: those of the node
//                                     that the backup was made of
#pragma once

#include <string>
#include <vector>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// `arguments`: what follows the word "store". Returns the exit code of the process; 2 for wrong usage. A
// corrupt store is reported here, with exit code 1. Errors: StoreFailure, UnsupportedStoreFormat,
// InvalidInput.
leaf::result<int> run_store_command(const std::vector<std::string>& arguments);

}  // namespace winchhall::cluster
