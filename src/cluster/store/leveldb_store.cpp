#include "cluster/store/leveldb_store.hpp"

#include <utility>

#include "cluster/common/log.hpp"
#include "cluster/store/database_replacement.hpp"

namespace winchhall::cluster {

namespace {

struct OpenedDatabase {
  std::unique_ptr<Database> database;
  std::vector<StoreEntry> entries;
};

leaf::result<OpenedDatabase> open_and_read(const std::string& path, Disk& disk, const StoreTuning& tuning) {
  OpenedDatabase opened;
  BOOST_LEAF_ASSIGN(opened.database, Database::open(path, disk, tuning, OpenMode::create_if_missing));
  BOOST_LEAF_ASSIGN(opened.entries, opened.database->read_all());
  return opened;
}

leaf::result<OpenedDatabase> open_replacement(const std::string& path, Disk& disk, const StoreTuning& tuning,
                                              const std::string& damage) {
  log_event(LogLevel::error, "damaged_store_replaced", {{"path", path}, {"damage", damage}});
  OpenedDatabase opened;
  BOOST_LEAF_ASSIGN(opened.database, replace_damaged_database(path, disk, tuning));
  return opened;
}

leaf::result<OpenedDatabase> open_or_replace(const std::string& path, Disk& disk, const StoreTuning& tuning) {
  if (needs_replacement(path, disk)) return open_replacement(path, disk, tuning, "files are missing");
  return leaf::try_handle_some([&] { return open_and_read(path, disk, tuning); },
                               [&](const StoreCorruption& damaged) -> leaf::result<OpenedDatabase> {
                                 return open_replacement(path, disk, tuning, damaged.detail);
                               });
}

}  // namespace

leaf::result<std::unique_ptr<LevelDbStore>> open_leveldb_store(const std::string& path,
                                                               PostToLoop post_to_loop, Disk& disk,
                                                               const StoreTuning& tuning) {
  if (!disk.create_directories(path)) {
    return leaf::new_error(StoreFailure{path, "create", "directory can't be created"});
  }
  BOOST_LEAF_AUTO(opened, open_or_replace(path, disk, tuning));
  disk.sync_directory(path);
  const bool replaces_damaged = opened.database->replaces_damaged();
  auto writer = std::make_shared<StoreWriter>(path, disk, tuning, std::move(post_to_loop));
  writer->start(std::move(opened.database));
  return std::make_unique<LevelDbStore>(std::move(writer), std::move(opened.entries), replaces_damaged);
}

LevelDbStore::LevelDbStore(std::shared_ptr<StoreWriter> writer, std::vector<StoreEntry> entries,
                           bool replaces_damaged)
    : writer_(std::move(writer)), entries_(std::move(entries)), replaces_damaged_(replaces_damaged) {}

LevelDbStore::~LevelDbStore() { writer_->stop(); }

void LevelDbStore::commit(StoreBatch batch, std::function<void(CommitOutcome)> done) {
  writer_->commit(std::move(batch), std::move(done));
}

void LevelDbStore::load(const std::function<void(std::string_view key, std::string_view value)>& visit) {
  for (const StoreEntry& entry : std::exchange(entries_, {})) visit(entry.key, entry.value);
}

}  // namespace winchhall::cluster
