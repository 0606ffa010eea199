#include "cluster/store/store_writer.hpp"

#include <utility>

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

void append(StoreBatch& joined, StoreBatch batch) {
  joined.insert(joined.end(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
}

}  // namespace

StoreWriter::StoreWriter(std::string path, Disk& disk, const StoreTuning& tuning, PostToLoop post_to_loop)
    : path_(std::move(path)), disk_(disk), tuning_(tuning), post_to_loop_(std::move(post_to_loop)) {}

void StoreWriter::start(std::unique_ptr<Database> database) {
  auto opened = std::make_shared<std::unique_ptr<Database>>(std::move(database));
  thread_ = std::thread([self = shared_from_this(), opened] { self->run(std::move(*opened)); });
}

void StoreWriter::stop() {
  std::unique_lock lock(mutex_);
  stopping_ = true;
  state_changed_.notify_all();
  const bool finished =
      state_changed_.wait_for(lock, tuning_.shutdown_timeout, [this] { return thread_finished_; });
  lock.unlock();
  if (finished) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

void StoreWriter::commit(StoreBatch batch, std::function<void(CommitOutcome)> done) {
  {
    const std::lock_guard lock(mutex_);
    pending_.push_back({std::move(batch), std::move(done)});
  }
  state_changed_.notify_all();
}

void StoreWriter::run(std::unique_ptr<Database> database) {
  for (std::vector<PendingCommit> group = take_pending(); !group.empty(); group = take_pending()) {
    if (!database) database = reopen_until_stopped();
    if (!database) break;
    StoreBatch joined;
    for (PendingCommit& commit : group) append(joined, std::move(commit.batch));
    const bool written = database->write(joined);
    if (!written) {
      log_event(LogLevel::error, "store_write_failed", {{"path", path_}});
      database.reset();
    }
    post_outcome(std::move(group), written ? CommitOutcome::durable : CommitOutcome::failed);
  }
  // Closes the database before the thread is reported as finished: the owner may destroy the disk after that.
  database.reset();
  const std::lock_guard lock(mutex_);
  thread_finished_ = true;
  state_changed_.notify_all();
}

std::vector<StoreWriter::PendingCommit> StoreWriter::take_pending() {
  std::unique_lock lock(mutex_);
  state_changed_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
  if (stopping_) return {};
  return std::exchange(pending_, {});
}

std::unique_ptr<Database> StoreWriter::reopen_until_stopped() {
  for (;;) {
    if (std::unique_ptr<Database> database = try_reopen()) {
      log_event(LogLevel::info, "store_reopened", {{"path", path_}});
      return database;
    }
    std::unique_lock lock(mutex_);
    if (state_changed_.wait_for(lock, tuning_.reopen_delay, [this] { return stopping_; })) return nullptr;
  }
}

std::unique_ptr<Database> StoreWriter::try_reopen() {
  // A damaged database is not replaced at this point, because the node's state in memory was read from it.
  return leaf::try_handle_all([this] { return Database::open(path_, disk_, tuning_, OpenMode::existing); },
                              [] { return std::unique_ptr<Database>(); });
}

void StoreWriter::post_outcome(std::vector<PendingCommit> group, CommitOutcome outcome) {
  auto finished = std::make_shared<std::vector<PendingCommit>>(std::move(group));
  const std::lock_guard lock(mutex_);
  if (stopping_) return;
  post_to_loop_([finished, outcome] {
    for (PendingCommit& commit : *finished) commit.done(outcome);
  });
}

}  // namespace winchhall::cluster
