// The store on SQLite, whose transactions make `put` atomic.
#include <sqlite3.h>
#include <sys/stat.h>

#include <cstdio>
#include <filesystem>

#include "aggregator/dynamic_config/digest.hpp"
#include "aggregator/dynamic_config/store.hpp"

namespace winchhall::dynamic_config {
namespace {

using dynamic_config::Kind;
namespace fs = std::filesystem;

constexpr int kSchemaVersion = 1;        // version of the tables, SQLite's user_version
constexpr int kBusyTimeoutMs = 500;      // wait for another process' write lock
constexpr int kMaxStoredCommands = 200;  // newest commands that are kept

struct CloseDb {
  void operator()(sqlite3* db) const { sqlite3_close_v2(db); }
};
struct Finalize {
  void operator()(sqlite3_stmt* s) const { sqlite3_finalize(s); }
};
using Db = std::unique_ptr<sqlite3, CloseDb>;

class Statement {
 public:
  Statement(sqlite3* db, const char* sql) {
    sqlite3_stmt* made = nullptr;
    sqlite3_prepare_v2(db, sql, -1, &made, nullptr);
    statement_.reset(made);
  }
  Statement& text(int at, const std::string& v) {
    sqlite3_bind_text(statement_.get(), at, v.data(), static_cast<int>(v.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& blob(int at, const std::string* v) {
    if (v) sqlite3_bind_blob64(statement_.get(), at, v->data(), v->size(), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& number(int at, std::int64_t v) {
    sqlite3_bind_int64(statement_.get(), at, v);
    return *this;
  }
  Statement& real(int at, double v) {
    sqlite3_bind_double(statement_.get(), at, v);
    return *this;
  }
  int step() { return statement_ ? sqlite3_step(statement_.get()) : SQLITE_ERROR; }
  bool row() { return step() == SQLITE_ROW; }
  bool done() { return step() == SQLITE_DONE; }
  std::int64_t number(int column) { return sqlite3_column_int64(statement_.get(), column); }
  double real(int column) { return sqlite3_column_double(statement_.get(), column); }
  bool null(int column) { return sqlite3_column_type(statement_.get(), column) == SQLITE_NULL; }
  std::string bytes(int column) {
    const void* from = sqlite3_column_blob(statement_.get(), column);
    int size = sqlite3_column_bytes(statement_.get(), column);
    return from && size > 0 ? std::string(static_cast<const char*>(from), static_cast<std::size_t>(size))
                            : "";
  }

 private:
  std::unique_ptr<sqlite3_stmt, Finalize> statement_;
};

std::string hex(std::uint64_t digest) {
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(digest));
  return text;
}
std::uint64_t unhex(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 16); }

class SqliteStore final : public Store {
 public:
  explicit SqliteStore(Db db) : db_(std::move(db)) {}

  bool put(const StoredSet& set) override {
    if (!run("BEGIN IMMEDIATE")) return false;
    auto file_bytes = [&](Kind kind) {
      auto it = set.bytes.find(kind);
      return it == set.bytes.end() ? nullptr : &it->second;
    };
    Statement insert(db_.get(),
                     "INSERT INTO generation(digest, at, verdict, why, nodes, weights, ranges, tenants) "
                     "VALUES (?, ?, ?, ?, ?, ?, ?, ?)");
    insert.text(1, hex(set.digest)).real(2, set.at).text(3, set.verdict).text(4, set.why);
    insert.blob(5, file_bytes(Kind::nodes)).blob(6, file_bytes(Kind::weights));
    insert.blob(7, file_bytes(Kind::ranges)).blob(8, file_bytes(Kind::tenants));
    if (insert.done() && prune() && run("COMMIT")) return true;
    fault_ = sqlite3_errmsg(db_.get());
    sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
    return false;
  }

  std::optional<StoredSet> newest_taken() override {
    Statement select(db_.get(), kSelectTaken);
    while (select.row())
      if (auto stored = read_verified(select)) return stored;
    return std::nullopt;
  }

  std::optional<StoredSet> find(std::uint64_t digest) override {
    Statement select(
        db_.get(),
        "SELECT number, digest, at, verdict, why, nodes, weights, ranges, tenants FROM generation "
        "WHERE digest = ? AND nodes IS NOT NULL ORDER BY number DESC");
    select.text(1, hex(digest));
    while (select.row())
      if (auto stored = read_verified(select)) return stored;
    return std::nullopt;
  }

  std::vector<StoredSet> history(int most) override {
    Statement select(db_.get(),
                     "SELECT number, digest, at, verdict, why FROM generation ORDER BY number DESC LIMIT ?");
    select.number(1, most);
    std::vector<StoredSet> list;
    while (select.row()) list.push_back(read_header(select));
    return list;
  }

  std::optional<std::int64_t> add_command(const std::string& action, std::uint64_t digest) override {
    Statement insert(db_.get(), "INSERT INTO orders(word, digest) VALUES (?, ?)");
    if (insert.text(1, action).text(2, hex(digest)).done()) return sqlite3_last_insert_rowid(db_.get());
    fault_ = sqlite3_errmsg(db_.get());
    return std::nullopt;
  }

  std::vector<OperatorCommand> pending_commands() override {
    Statement select(db_.get(),
                     "SELECT id, word, digest FROM orders WHERE answer IS NULL ORDER BY id LIMIT 20");
    std::vector<OperatorCommand> list;
    while (select.row()) list.push_back({select.number(0), select.bytes(1), unhex(select.bytes(2)), {}});
    return list;
  }

  bool answer(std::int64_t id, const std::string& words) override {
    Statement update(db_.get(), "UPDATE orders SET answer = ? WHERE id = ?");
    bool ok = update.text(1, words).number(2, id).done();
    if (!ok) fault_ = sqlite3_errmsg(db_.get());
    Statement(db_.get(), "DELETE FROM orders WHERE id < ?").number(1, id - kMaxStoredCommands).step();
    return ok;
  }

  std::optional<OperatorCommand> find_command(std::int64_t id) override {
    Statement select(db_.get(), "SELECT id, word, digest, answer FROM orders WHERE id = ?");
    select.number(1, id);
    if (!select.row()) return std::nullopt;
    return OperatorCommand{select.number(0), select.bytes(1), unhex(select.bytes(2)), select.bytes(3)};
  }

  const std::string& fault() const override { return fault_; }

 private:
  static constexpr const char* kSelectTaken =
      "SELECT number, digest, at, verdict, why, nodes, weights, ranges, tenants FROM generation "
      "WHERE verdict = 'taken' AND nodes IS NOT NULL ORDER BY number DESC";

  bool run(const char* sql) {
    if (sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) == SQLITE_OK) return true;
    fault_ = sqlite3_errmsg(db_.get());
    return false;
  }

  static StoredSet read_header(Statement& s) {
    return {s.number(0), unhex(s.bytes(1)), s.real(2), s.bytes(3), s.bytes(4), {}};
  }

  // None if the bytes don't match their digest: the other rows of a partly corrupt database stay usable.
  static std::optional<StoredSet> read_verified(Statement& s) {
    StoredSet set = read_header(s);
    for (int i = 0; i < 4; ++i)
      if (!s.null(5 + i)) set.bytes[dynamic_config::kKinds[i]] = s.bytes(5 + i);
    if (dynamic_config::digest_of(set.bytes) != set.digest) return std::nullopt;
    return set;
  }

  // The newest two entries always stay, or one large entry would leave nothing to roll back to.
  bool prune() {
    Statement select(db_.get(),
                     "SELECT number, coalesce(length(nodes), 0) + coalesce(length(weights), 0) + "
                     "coalesce(length(ranges), 0) + coalesce(length(tenants), 0) FROM generation "
                     "ORDER BY number DESC");
    std::int64_t bytes = 0, last = 0;
    int count = 0;
    while (select.row()) {
      bytes += select.number(1);
      if (++count > 2 && (count > kMaxStoredSets || bytes > kMaxStoredBytes)) {
        last = select.number(0);
        break;
      }
    }
    if (last == 0) return true;
    return Statement(db_.get(), "DELETE FROM generation WHERE number <= ?").number(1, last).done();
  }

  Db db_;
  std::string fault_;
};

Db try_open(const std::string& path, bool read_only, std::string& why, bool& corrupt) {
  sqlite3* raw = nullptr;
  int flags = read_only ? SQLITE_OPEN_READWRITE : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  int code = sqlite3_open_v2(path.c_str(), &raw, flags, nullptr);
  Db db(raw);
  auto failed = [&](int with) {
    why = raw ? sqlite3_errmsg(raw) : "out of memory";
    corrupt = with == SQLITE_NOTADB || with == SQLITE_CORRUPT;
    return nullptr;
  };
  if (code != SQLITE_OK) return failed(code);
  sqlite3_busy_timeout(raw, kBusyTimeoutMs);
  for (const char* sql : {"PRAGMA journal_mode = WAL", "PRAGMA synchronous = NORMAL"})
    if (int c = sqlite3_exec(raw, sql, nullptr, nullptr, nullptr); c != SQLITE_OK) return failed(c);
  {
    Statement check(raw, "PRAGMA quick_check(1)");
    int c = check.step();
    if (c != SQLITE_ROW) return failed(c);
    if (check.bytes(0) != "ok") {
      why = "it is spoilt: " + check.bytes(0);
      corrupt = true;
      return nullptr;
    }
  }
  std::int64_t version = 0;
  {
    Statement read(raw, "PRAGMA user_version");
    if (read.row()) version = read.number(0);
  }
  if (version > kSchemaVersion) {
    why = "it is of a later version (" + std::to_string(version) + ")";
    return nullptr;
  }
  const char* tables =
      "BEGIN IMMEDIATE;"
      "CREATE TABLE IF NOT EXISTS generation(number INTEGER PRIMARY KEY AUTOINCREMENT, digest TEXT NOT NULL, "
      "at REAL, verdict TEXT NOT NULL, why TEXT, nodes BLOB, weights BLOB, ranges BLOB, tenants BLOB);"
      "CREATE INDEX IF NOT EXISTS by_digest ON generation(digest);"
      "CREATE TABLE IF NOT EXISTS orders(id INTEGER PRIMARY KEY AUTOINCREMENT, word TEXT NOT NULL, "
      "digest TEXT NOT NULL, answer TEXT);"
      "PRAGMA user_version = 1;"
      "COMMIT;";
  if (version < kSchemaVersion)
    if (int c = sqlite3_exec(raw, tables, nullptr, nullptr, nullptr); c != SQLITE_OK) return failed(c);
  return db;
}

std::string unused_name(const std::string& path) {
  for (int i = 1;; ++i) {
    std::string name = path + ".spoilt-" + std::to_string(i);
    if (!fs::exists(name)) return name;
  }
}

}  // namespace

extern "C" __attribute__((visibility("default"))) void winchhall_open_store(const std::string& path,
                                                                            bool read_only,
                                                                            OpenedStore& opened) {
  bool corrupt = false;
  Db db = try_open(path, read_only, opened.why, corrupt);
  if (!db && corrupt && !read_only) {
    std::error_code error;
    opened.set_aside = unused_name(path);
    fs::rename(path, opened.set_aside, error);
    for (const char* with : {"-wal", "-shm"}) fs::remove(path + with, error);
    db = try_open(path, false, opened.why, corrupt);
  }
  if (!db) return;
  opened.why.clear();
  opened.store = std::make_unique<SqliteStore>(std::move(db));
}

}  // namespace winchhall::dynamic_config
