// The SQLite store: entries that are read back are complete, whatever ends the process or corrupts the file.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>

#include "aggregator/dynamic_config/digest.hpp"
#include "aggregator/dynamic_config/store.hpp"

using namespace winchhall;
using dynamic_config::Kind;
using dynamic_config::StoredSet;
namespace fs = std::filesystem;

namespace {

struct StoreFolder {
  StoreFolder() {
    const char* dir = std::getenv("TMPDIR");
    std::string made = std::string(dir ? dir : "/tmp") + "/winchhall-store-XXXXXX";
    REQUIRE(mkdtemp(made.data()));
    root = made;
    path = root / "store.db";
  }
  ~StoreFolder() { fs::remove_all(root); }
  fs::path root, path;
};

StoredSet stored_set(int number, std::size_t size = 2000, const std::string& verdict = "taken") {
  StoredSet set;
  set.bytes[Kind::nodes] = std::string(size, static_cast<char>('a' + number % 26)) + std::to_string(number);
  set.bytes[Kind::ranges] = "ranges of " + std::to_string(number);
  set.digest = dynamic_config::digest_of(set.bytes);
  set.verdict = verdict;
  set.at = number;
  return set;
}

dynamic_config::OpenedStore open_store(const StoreFolder& p) {
  auto o = dynamic_config::open(p.path);
  REQUIRE_MESSAGE(o.store, o.why);
  return o;
}

}  // namespace

TEST_CASE("stored entries are read back, newest first, and newest_taken returns only applied ones") {
  StoreFolder p;
  {
    auto o = open_store(p);
    CHECK_FALSE(o.store->newest_taken());
    CHECK(o.store->put(stored_set(1)));
    CHECK(o.store->put(stored_set(2)));
    StoredSet rejected = stored_set(3, 10, "refused");
    rejected.bytes.clear();
    CHECK(o.store->put(rejected));
    CHECK(o.store->put(stored_set(4, 10, "held")));
  }
  auto o = open_store(p);
  CHECK(o.store->newest_taken()->bytes == stored_set(2).bytes);
  auto list = o.store->history(10);
  REQUIRE(list.size() == 4);
  CHECK(list[0].verdict == "held");
  CHECK(list[3].digest == stored_set(1).digest);
  CHECK(o.store->find(stored_set(4, 10).digest)->bytes == stored_set(4, 10).bytes);
  CHECK_FALSE(o.store->find(12345));
}

TEST_CASE(
    "the oldest entries are dropped beyond the maximum number; a clock that steps back does not change the "
    "order") {
  StoreFolder p;
  auto o = open_store(p);
  for (int i = 0; i < 60; ++i) {
    StoredSet set = stored_set(i);
    set.at = -i;
    CHECK(o.store->put(set));
  }
  CHECK(o.store->history(1000).size() == dynamic_config::Store::kMaxStoredSets);
  CHECK(o.store->newest_taken()->digest == stored_set(59).digest);
}

TEST_CASE("an operator's command is stored, read, answered, and its answer is read") {
  StoreFolder p;
  auto program = open_store(p);
  auto tool = dynamic_config::open(p.path, true);
  REQUIRE(tool.store);
  auto id = tool.store->add_command("accept", 77);
  REQUIRE(id);
  auto open = program.store->pending_commands();
  REQUIRE(open.size() == 1);
  CHECK(open[0].action == "accept");
  CHECK(open[0].digest == 77);
  CHECK(program.store->answer(*id, "done"));
  CHECK(program.store->pending_commands().empty());
  CHECK(tool.store->find_command(*id)->answer == "done");
}

TEST_CASE(
    "a truncated or overwritten store is renamed and replaced by an empty one; opening read-only changes "
    "nothing") {
  StoreFolder p;
  std::mt19937 rng(7);
  for (int round = 0; round < 12; ++round) {
    fs::remove(p.path);
    {
      auto o = open_store(p);
      for (int i = 0; i < 6; ++i) CHECK(o.store->put(stored_set(i, 5000)));
    }
    auto size = fs::file_size(p.path);
    if (round % 3 == 0) {
      fs::resize_file(p.path, size * (1 + round % 5) / 8);
    } else {
      std::fstream file(p.path, std::ios::in | std::ios::out | std::ios::binary);
      if (round % 3 == 1)
        file.seekp(0);
      else
        file.seekp(static_cast<long>(rng() % size));
      for (int i = 0; i < 4000; ++i) file.put(static_cast<char>(rng()));
    }
    auto seen = dynamic_config::open(p.path, true);
    CHECK(seen.set_aside.empty());
    seen.store.reset();
    auto o = dynamic_config::open(p.path);
    REQUIRE_MESSAGE(o.store, o.why);
    if (!o.set_aside.empty()) CHECK(fs::exists(o.set_aside));
    // Whatever is found matches its digest: overwritten entries are never returned.
    if (auto found = o.store->newest_taken()) CHECK(dynamic_config::digest_of(found->bytes) == found->digest);
    CHECK(o.store->put(stored_set(100)));
    CHECK(o.store->newest_taken()->digest == stored_set(100).digest);
  }
}

TEST_CASE("a store of a later version is left alone") {
  StoreFolder p;
  { auto o = open_store(p); }
  std::fstream file(p.path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(60);  // user_version in SQLite's header, most significant byte first
  for (char c : {0, 0, 0, 9}) file.put(c);
  file.close();
  auto o = dynamic_config::open(p.path);
  CHECK_FALSE(o.store);
  CHECK(o.why.find("later version (9)") != std::string::npos);
  CHECK(o.set_aside.empty());
}

TEST_CASE("on a full disk an entry is not stored, and the store stays usable") {
  StoreFolder p;
  auto o = open_store(p);
  CHECK(o.store->put(stored_set(1)));
  pid_t child = fork();
  if (child == 0) {
    // A limit on the size of files simulates the full disk: writes beyond it fail.
    signal(SIGXFSZ, SIG_IGN);
    rlimit limit{100'000, 100'000};
    setrlimit(RLIMIT_FSIZE, &limit);
    auto full = dynamic_config::open(p.path);
    bool failed = full.store && !full.store->put(stored_set(2, 3'000'000)) && !full.store->fault().empty();
    bool still =
        failed && full.store->newest_taken() && full.store->newest_taken()->digest == stored_set(1).digest;
    _exit(still ? 0 : 1);
  }
  int status = 0;
  waitpid(child, &status, 0);
  CHECK(WIFEXITED(status));
  CHECK(WEXITSTATUS(status) == 0);
  CHECK(o.store->newest_taken()->digest == stored_set(1).digest);
  CHECK(o.store->put(stored_set(3)));
}

TEST_CASE(
    "locked by another process: an entry is not stored, with the reason, and stored once the lock is "
    "released") {
  StoreFolder p;
  auto o = open_store(p);
  CHECK(o.store->put(stored_set(1)));
  sqlite3* other = nullptr;
  REQUIRE(sqlite3_open(p.path.c_str(), &other) == SQLITE_OK);
  REQUIRE(sqlite3_exec(other, "BEGIN IMMEDIATE", nullptr, nullptr, nullptr) == SQLITE_OK);
  CHECK_FALSE(o.store->put(stored_set(2)));
  CHECK(o.store->fault().find("locked") != std::string::npos);
  CHECK(o.store->newest_taken()->digest == stored_set(1).digest);  // entries are readable meanwhile
  CHECK(sqlite3_exec(other, "ROLLBACK", nullptr, nullptr, nullptr) == SQLITE_OK);
  sqlite3_close(other);
  CHECK(o.store->put(stored_set(3)));
  CHECK(o.store->newest_taken()->digest == stored_set(3).digest);
}

namespace {

// Where the writing child is killed: by itself at a system call of SQLite on one of the store's files, or by
// its parent at any point.
enum class KillPoint { log_write, database_write, log_removal, by_parent };
// Relative to the system call: before it, after half of its bytes, after all of them.
enum class KillMoment { before, halfway, after };

struct KillPlan {
  KillPoint point;
  KillMoment moment;
  int acknowledged_before;  // entries that are stored before the process may be killed
};

// Used in the child only. A global, because the replaced system calls have no argument for it.
std::optional<KillPlan> armed;

[[noreturn]] void die() {
  kill(getpid(), SIGKILL);
  for (;;) pause();
}

bool is_file_of(int fd, KillPoint point) {
  std::error_code error;
  const std::string path = fs::read_symlink("/proc/self/fd/" + std::to_string(fd), error).string();
  return path.ends_with(point == KillPoint::log_write ? "store.db-wal" : "store.db");
}

bool is_armed_write(int fd) {
  return armed && (armed->point == KillPoint::log_write || armed->point == KillPoint::database_write) &&
         is_file_of(fd, armed->point);
}

template <class Offset>
ssize_t pwrite_or_die(int fd, const void* bytes, std::size_t size, Offset offset) {
  if (!is_armed_write(fd)) return pwrite(fd, bytes, size, offset);
  if (armed->moment == KillMoment::halfway) static_cast<void>(!pwrite(fd, bytes, size / 2, offset));
  if (armed->moment == KillMoment::after) static_cast<void>(!pwrite(fd, bytes, size, offset));
  die();
}

ssize_t write_or_die(int fd, const void* bytes, std::size_t size) {
  if (!is_armed_write(fd)) return write(fd, bytes, size);
  if (armed->moment == KillMoment::halfway) static_cast<void>(!write(fd, bytes, size / 2));
  if (armed->moment == KillMoment::after) static_cast<void>(!write(fd, bytes, size));
  die();
}

int unlink_or_die(const char* path) {
  if (!armed || armed->point != KillPoint::log_removal || !std::string(path).ends_with("-wal"))
    return unlink(path);
  if (armed->moment != KillMoment::before) static_cast<void>(unlink(path));
  die();
}

void intercept_system_calls() {
  sqlite3_vfs* vfs = sqlite3_vfs_find(nullptr);
  const auto replace = [vfs](const char* name, auto* function) {
    return vfs->xSetSystemCall(vfs, name, reinterpret_cast<sqlite3_syscall_ptr>(function)) == SQLITE_OK;
  };
  // Which of the three write functions SQLite uses depends on how it was built.
  if (!replace("pwrite", &pwrite_or_die<off_t>) || !replace("pwrite64", &pwrite_or_die<off64_t>) ||
      !replace("write", &write_or_die) || !replace("unlink", &unlink_or_die))
    _exit(6);
}

// Stores entries from `number` on, writes the number of each stored one to `acknowledgements`, and does not
// return. The store is closed and opened again repeatedly, which moves the log's content into the database
// and removes the log.
[[noreturn]] void store_until_killed(const StoreFolder& p, int number, const KillPlan& plan,
                                     int acknowledgements) {
  constexpr int kSetsPerOpening = 3;
  constexpr int kMaxSets = 1000;  // far more than any plan needs
  intercept_system_calls();
  for (int i = number; i < number + kMaxSets;) {
    auto o = dynamic_config::open(p.path);
    if (!o.store) _exit(3);
    for (const int end = i + kSetsPerOpening; i < end; ++i) {
      if (i - number >= plan.acknowledged_before) armed = plan;
      if (!o.store->put(stored_set(i, 1000 + static_cast<std::size_t>(i % 50) * 400))) _exit(4);
      if (write(acknowledgements, &i, sizeof i) != sizeof i) _exit(5);
    }
  }
  _exit(7);  // the system call at which it was to be killed was never made
}

}  // namespace

TEST_CASE("killed 200 times while it stores: entries are complete, and all acknowledged ones are there") {
  constexpr KillPoint kPoints[] = {KillPoint::log_write, KillPoint::database_write, KillPoint::log_removal,
                                   KillPoint::by_parent};
  constexpr KillMoment kMoments[] = {KillMoment::before, KillMoment::halfway, KillMoment::after};
  StoreFolder p;
  std::mt19937 rng(20261201);
  int acknowledged = -1, number = 0, least = 0;
  for (unsigned round = 0; round < 200; ++round) {
    const KillPlan plan{kPoints[round % 4], kMoments[round / 4 % 3], static_cast<int>(rng() % 12)};
    CAPTURE(round);
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    pid_t child = fork();
    if (child == 0) store_until_killed(p, number, plan, ends[1]);
    close(ends[1]);
    int counted = 0;
    const auto read_one = [&] {
      int i = 0;
      if (read(ends[0], &i, sizeof i) != sizeof i) return false;
      CHECK(i == number + counted++);
      acknowledged = i;
      return true;
    };
    if (plan.point == KillPoint::by_parent) {
      while (counted < plan.acknowledged_before && read_one()) continue;
      kill(child, SIGKILL);
    }
    while (read_one()) continue;  // ends with the child
    int status = 0;
    waitpid(child, &status, 0);
    REQUIRE(WIFSIGNALED(status));
    CHECK(WTERMSIG(status) == SIGKILL);
    CHECK(counted >= plan.acknowledged_before);
    close(ends[0]);
    least += plan.acknowledged_before;
    auto o = open_store(p);
    CHECK(o.set_aside.empty());
    auto found = o.store->newest_taken();
    if (acknowledged >= 0) REQUIRE(found);
    if (!found) continue;
    CHECK(dynamic_config::digest_of(found->bytes) == found->digest);
    CHECK(found->at >= acknowledged);
    CHECK(found->at <= number + counted);  // at most one more than was acknowledged
    number = static_cast<int>(found->at) + 1;
  }
  CHECK(number >= least);
  CHECK(number > 200);
}
