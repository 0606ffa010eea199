#include "aggregator/app/files_command.hpp"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/dynamic_config/config_generation.hpp"
#include "aggregator/dynamic_config/folder_watch.hpp"
#include "aggregator/dynamic_config/store.hpp"

namespace winchhall::app {
namespace {

constexpr int kMaxAnswerPolls = 100;          // of 100 ms: a running program looks twice a second
constexpr std::size_t kFileMost = 256 << 20;  // bytes: the most that an operator's file can allow

dynamic_config::ConfigGenerationPtr read_folder(const std::string& folder,
                                                const dynamic_config::Bounds& bounds,
                                                std::vector<dynamic_config::Fault>& faults) {
  dynamic_config::FolderContents look = dynamic_config::read_config_folder(folder, kFileMost);
  if (!look.exists) throw std::runtime_error(folder + ": no such folder");
  if (look.changed_while_read)
    throw std::runtime_error(folder + ": somebody writes to it just now, try again");
  faults = look.faults;
  if (!faults.empty()) return nullptr;
  dynamic_config::Rows rows;
  read_config_files(look.bytes, rows, faults);
  if (!faults.empty()) return nullptr;
  return dynamic_config::check(rows, dynamic_config::digest_of(look.bytes), bounds, faults);
}

std::unique_ptr<dynamic_config::Store> open_store(const std::string& path) {
  dynamic_config::OpenedStore opened = dynamic_config::open(path, true);
  if (!opened.store) throw std::runtime_error(path + ": " + opened.why);
  return std::move(opened.store);
}

}  // namespace

int show_store(const std::string& path, bool history, bool as_json) {
  auto stored = open_store(path)->history(history ? 1000 : 1);
  nlohmann::json rows = nlohmann::json::array();
  for (const dynamic_config::StoredSet& k : stored) {
    rows.push_back({{"number", k.number},
                    {"generation", dynamic_config::digest_text(k.digest)},
                    {"at_ms", k.at},
                    {"verdict", k.verdict},
                    {"why", k.why}});
    if (!as_json)
      std::cout << k.number << " " << dynamic_config::digest_text(k.digest) << " "
                << static_cast<long long>(k.at) << " " << k.verdict << (k.why.empty() ? "" : ": " + k.why)
                << "\n";
  }
  if (as_json) std::cout << rows.dump() << "\n";
  return stored.empty() ? 1 : 0;
}

int submit_command(const std::string& path, const std::string& word, const std::string& digest) {
  if (digest.size() != 16 || digest.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw std::runtime_error("'" + digest +
                             "' is no generation: 16 hex digits are wanted, as `files history` has them");
  auto store = open_store(path);
  auto id = store->add_command(word, std::stoull(digest, nullptr, 16));
  if (!id) throw std::runtime_error(path + ": " + store->fault());
  for (int i = 0; i < kMaxAnswerPolls; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    auto order = store->find_command(*id);
    if (!order || order->answer.empty()) continue;
    std::cout << word << " " << digest << ": " << order->answer << "\n";
    return order->answer == "done" ? 0 : 1;
  }
  store->answer(*id, "withdrawn: nobody answered");
  throw std::runtime_error(path + ": no running program has answered in 10 s; the word is withdrawn");
}

int check_folder(const FilesCheck& o) {
  dynamic_config::Bounds bounds;
  bounds.zones = {o.zones.begin(), o.zones.end()};
  bounds.cells = o.cells;
  std::vector<dynamic_config::Fault> faults;
  auto made = read_folder(o.folder, bounds, faults);
  if (o.json) {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& f : faults)
      rows.push_back({{"file", dynamic_config::file_name(f.kind)}, {"line", f.line}, {"what", f.what}});
    nlohmann::json all{{"folder", o.folder}, {"sound", made != nullptr}, {"faults", rows}};
    if (made) all["generation"] = dynamic_config::digest_text(made->digest);
    std::cout << all.dump() << "\n";
    return made ? 0 : 1;
  }
  for (const auto& f : faults) std::cout << o.folder << "/" << f.text() << "\n";
  if (made)
    std::cout << o.folder << ": sound, generation " << dynamic_config::digest_text(made->digest) << ", "
              << made->members.size() << " nodes, " << (made->map ? made->map->size() : 0) << " ranges, "
              << made->tenants.size() << " tenants\n";
  return made ? 0 : 1;
}

int diff_folders(const std::string& a, const std::string& b) {
  std::vector<dynamic_config::Fault> faults;
  dynamic_config::ConfigGenerationPtr sides[2];
  const std::string* names[] = {&a, &b};
  for (int i = 0; i < 2; ++i) {
    sides[i] = read_folder(*names[i], {}, faults);
    if (!sides[i]) throw std::runtime_error(*names[i] + "/" + faults.at(0).text());
  }
  auto lines = dynamic_config::differences(*sides[0], *sides[1]);
  for (const std::string& line : lines) std::cout << line << "\n";
  return lines.empty() ? 0 : 1;
}

}  // namespace winchhall::app
