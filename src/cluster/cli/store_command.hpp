// Sub-command `store`: looks after the store of a control node that is not running.
//   store check DIR                   reads all and checks it; status 0: sound, 1: not
//   store show DIR [--prefix P]       one line an entry
//   store backup DIR FILE             writes a backup
//   store restore FILE DIR [--address IP:PORT] [--http IP:PORT]
//                                     makes a store for a NEW group of one member from a backup; the
//                                     addresses are the node's own, and by default those of the node backed
//                                     up
#pragma once

#include <string>
#include <vector>

#include "cluster/common/errors.hpp"

namespace winchhall::cluster {

// `arguments` follow the word "store". The status for the caller to end with; 2: wrong usage. Errors:
// StoreFailure, UnsupportedStoreFormat, InvalidInput. A damaged store is reported here, with status 1.
leaf::result<int> run_store_command(const std::vector<std::string>& arguments);

}  // namespace winchhall::cluster
