// Sets a damaged database aside and makes an empty one in its place, so that the node comes back as one that
// lost its disk: with what it promised gone, it must not vote under its old identity.
#pragma once

#include <memory>
#include <string>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// True if the folder's database is gone in part, or its replacement was begun and not ended.
bool needs_replacement(const std::string& path, Disk& disk);

// Moves the database's files to the sub-folder "damaged", in place of what was there, and makes an empty,
// marked database. May be cut off anywhere and begun again. Errors: StoreFailure.
leaf::result<std::unique_ptr<Database>> replace_damaged_database(const std::string& path, Disk& disk,
                                                                 const StoreTuning& tuning);

}  // namespace winchhall::cluster
