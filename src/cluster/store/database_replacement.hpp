// Replaces a damaged database by an empty one. Its acceptor state, that is promises and accepted values, is
// lost, so the node must rejoin as a new member and must not vote under its former identity.
#pragma once

#include <memory>
#include <string>

#include "cluster/store/database.hpp"

namespace winchhall::cluster {

// True if files of the directory's database are missing, or if a replacement was interrupted.
bool needs_replacement(const std::string& path, Disk& disk);

// Moves the database's files to the sub-directory "damaged", deleting what an earlier replacement left there,
// and creates an empty database that is marked as a replacement. Can be interrupted at any point, also by a
// power loss, and run again. Errors: StoreFailure, and those of Database::open.
leaf::result<std::unique_ptr<Database>> replace_damaged_database(const std::string& path, Disk& disk,
                                                                 const StoreTuning& tuning);

}  // namespace winchhall::cluster
