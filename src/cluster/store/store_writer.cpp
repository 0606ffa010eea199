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
  wake_.notify_all();
  const bool ended = wake_.wait_for(lock, tuning_.closing_wait, [this] { return ended_; });
  lock.unlock();
  if (ended) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

void StoreWriter::commit(StoreBatch batch, std::function<void(CommitOutcome)> done) {
  {
    const std::lock_guard lock(mutex_);
    waiting_.push_back({std::move(batch), std::move(done)});
  }
  wake_.notify_all();
}

void StoreWriter::run(std::unique_ptr<Database> database) {
  for (std::vector<Waiting> group = take_waiting(); !group.empty(); group = take_waiting()) {
    if (!database) database = reopened();
    if (!database) break;
    StoreBatch joined;
    for (Waiting& waiting : group) append(joined, std::move(waiting.batch));
    const bool written = database->write(joined);
    if (!written) {
      log_event(LogLevel::error, "store_write_failed", {{"path", path_}});
      database.reset();
    }
    report(std::move(group), written ? CommitOutcome::durable : CommitOutcome::failed);
  }
  database.reset();
  const std::lock_guard lock(mutex_);
  ended_ = true;
  wake_.notify_all();
}

std::vector<StoreWriter::Waiting> StoreWriter::take_waiting() {
  std::unique_lock lock(mutex_);
  wake_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
  if (stopping_) return {};
  return std::exchange(waiting_, {});
}

std::unique_ptr<Database> StoreWriter::reopened() {
  for (;;) {
    if (std::unique_ptr<Database> database = try_to_open()) {
      log_event(LogLevel::info, "store_reopened", {{"path", path_}});
      return database;
    }
    std::unique_lock lock(mutex_);
    if (wake_.wait_for(lock, tuning_.reopen_pause, [this] { return stopping_; })) return nullptr;
  }
}

std::unique_ptr<Database> StoreWriter::try_to_open() {
  // Never replaced here: what this node holds in memory belongs to the database that was damaged.
  return leaf::try_handle_all([this] { return Database::open(path_, disk_, tuning_, OpenMode::existing); },
                              [] { return std::unique_ptr<Database>(); });
}

void StoreWriter::report(std::vector<Waiting> group, CommitOutcome outcome) {
  auto ended = std::make_shared<std::vector<Waiting>>(std::move(group));
  const std::lock_guard lock(mutex_);
  if (stopping_) return;
  post_to_loop_([ended, outcome] {
    for (Waiting& waiting : *ended) waiting.done(outcome);
  });
}

}  // namespace winchhall::cluster
