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

constexpr int kMaxAnswerPolls = 100;  // 100 ms apart; a running program reads commands twice a second
constexpr std::size_t kMaxFileBytes = 256 << 20;  // the largest limit that an operator's file can set

dynamic_config::ConfigGenerationPtr read_folder(const std::string& folder,
                                                const dynamic_config::Bounds& bounds,
                                                std::vector<dynamic_config::Fault>& faults) {
  dynamic_config::FolderContents contents = dynamic_config::read_config_folder(folder, kMaxFileBytes);
  if (!contents.exists) throw std::runtime_error(folder + ": no such folder");
  if (contents.changed_while_read)
    throw std::runtime_error(folder + ": somebody writes to it just now, try again");
  faults = contents.faults;
  if (!faults.empty()) return nullptr;
  dynamic_config::Rows rows;
  read_config_files(contents.bytes, rows, faults);
  if (!faults.empty()) return nullptr;
  return dynamic_config::check(rows, dynamic_config::digest_of(contents.bytes), bounds, faults);
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

int submit_command(const std::string& path, const std::string& action, const std::string& digest) {
  if (digest.size() != 16 || digest.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw std::runtime_error("'" + digest +
                             "' is no generation: 16 hex digits are wanted, as `files history` has them");
  auto store = open_store(path);
  auto id = store->add_command(action, std::stoull(digest, nullptr, 16));
  if (!id) throw std::runtime_error(path + ": " + store->fault());
  for (int i = 0; i < kMaxAnswerPolls; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    auto command = store->find_command(*id);
    if (!command || command->answer.empty()) continue;
    std::cout << action << " " << digest << ": " << command->answer << "\n";
    return command->answer == "done" ? 0 : 1;
  }
  store->answer(*id, "withdrawn: nobody answered");
  throw std::runtime_error(path + ": no running program has answered in 10 s; the word is withdrawn");
}

int check_folder(const FilesCheckOptions& options) {
  dynamic_config::Bounds bounds;
  bounds.zones = {options.zones.begin(), options.zones.end()};
  bounds.cells = options.cells;
  std::vector<dynamic_config::Fault> faults;
  auto generation = read_folder(options.folder, bounds, faults);
  if (options.json) {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& f : faults)
      rows.push_back({{"file", dynamic_config::file_name(f.kind)}, {"line", f.line}, {"what", f.what}});
    nlohmann::json all{{"folder", options.folder}, {"sound", generation != nullptr}, {"faults", rows}};
    if (generation) all["generation"] = dynamic_config::digest_text(generation->digest);
    std::cout << all.dump() << "\n";
    return generation ? 0 : 1;
  }
  for (const auto& f : faults) std::cout << options.folder << "/" << f.text() << "\n";
  if (generation)
    std::cout << options.folder << ": sound, generation " << dynamic_config::digest_text(generation->digest)
              << ", " << generation->members.size() << " nodes, "
              << (generation->map ? generation->map->size() : 0) << " ranges, " << generation->tenants.size()
              << " tenants\n";
  return generation ? 0 : 1;
}

int diff_folders(const std::string& a, const std::string& b) {
  std::vector<dynamic_config::Fault> faults;
  dynamic_config::ConfigGenerationPtr generations[2];
  const std::string* names[] = {&a, &b};
  for (int i = 0; i < 2; ++i) {
    generations[i] = read_folder(*names[i], {}, faults);
    if (!generations[i]) throw std::runtime_error(*names[i] + "/" + faults.at(0).text());
  }
  auto lines = dynamic_config::differences(*generations[0], *generations[1]);
  for (const std::string& line : lines) std::cout << line << "\n";
  return lines.empty() ? 0 : 1;
}

}  // namespace winchhall::app
