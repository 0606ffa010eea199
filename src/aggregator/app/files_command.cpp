#include "aggregator/app/files_command.hpp"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/dynamic_config/folder.hpp"
#include "aggregator/dynamic_config/generation.hpp"
#include "aggregator/dynamic_config/store.hpp"

namespace winchhall::app {
namespace {

constexpr int kAnswerTries = 100;             // of 100 ms: a running program looks twice a second
constexpr std::size_t kFileMost = 256 << 20;  // bytes: the most that an operator's file can allow

generations::GenerationPtr read_folder(const std::string& folder, const generations::Bounds& bounds,
                                       std::vector<generations::Fault>& faults) {
  files::Look look = files::look_at(folder, kFileMost);
  if (!look.there) throw std::runtime_error(folder + ": no such folder");
  if (look.disturbed) throw std::runtime_error(folder + ": somebody writes to it just now, try again");
  faults = look.faults;
  if (!faults.empty()) return nullptr;
  generations::Rows rows;
  read_set(look.bytes, rows, faults);
  if (!faults.empty()) return nullptr;
  return generations::check(rows, generations::digest_of(look.bytes), bounds, faults);
}

std::unique_ptr<store::Store> open_store(const std::string& path) {
  store::Opened opened = store::open(path, true);
  if (!opened.store) throw std::runtime_error(path + ": " + opened.why);
  return std::move(opened.store);
}

}  // namespace

int show_store(const std::string& path, bool history, bool as_json) {
  auto kept = open_store(path)->history(history ? 1000 : 1);
  nlohmann::json rows = nlohmann::json::array();
  for (const store::Kept& k : kept) {
    rows.push_back({{"number", k.number},
                    {"generation", generations::digest_text(k.digest)},
                    {"at_ms", k.at},
                    {"verdict", k.verdict},
                    {"why", k.why}});
    if (!as_json)
      std::cout << k.number << " " << generations::digest_text(k.digest) << " "
                << static_cast<long long>(k.at) << " " << k.verdict << (k.why.empty() ? "" : ": " + k.why)
                << "\n";
  }
  if (as_json) std::cout << rows.dump() << "\n";
  return kept.empty() ? 1 : 0;
}

int leave_word(const std::string& path, const std::string& word, const std::string& digest) {
  if (digest.size() != 16 || digest.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw std::runtime_error("'" + digest +
                             "' is no generation: 16 hex digits are wanted, as `files history` has them");
  auto store = open_store(path);
  auto id = store->leave(word, std::stoull(digest, nullptr, 16));
  if (!id) throw std::runtime_error(path + ": " + store->fault());
  for (int i = 0; i < kAnswerTries; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    auto order = store->order(*id);
    if (!order || order->answer.empty()) continue;
    std::cout << word << " " << digest << ": " << order->answer << "\n";
    return order->answer == "done" ? 0 : 1;
  }
  store->answer(*id, "withdrawn: nobody answered");
  throw std::runtime_error(path + ": no running program has answered in 10 s; the word is withdrawn");
}

int check_folder(const FilesCheck& o) {
  generations::Bounds bounds;
  bounds.zones = {o.zones.begin(), o.zones.end()};
  bounds.cells = o.cells;
  std::vector<generations::Fault> faults;
  auto made = read_folder(o.folder, bounds, faults);
  if (o.json) {
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& f : faults)
      rows.push_back({{"file", generations::file_of(f.kind)}, {"line", f.line}, {"what", f.what}});
    nlohmann::json all{{"folder", o.folder}, {"sound", made != nullptr}, {"faults", rows}};
    if (made) all["generation"] = generations::digest_text(made->digest);
    std::cout << all.dump() << "\n";
    return made ? 0 : 1;
  }
  for (const auto& f : faults) std::cout << o.folder << "/" << f.text() << "\n";
  if (made)
    std::cout << o.folder << ": sound, generation " << generations::digest_text(made->digest) << ", "
              << made->members.size() << " nodes, " << (made->map ? made->map->size() : 0) << " ranges, "
              << made->tenants.size() << " tenants\n";
  return made ? 0 : 1;
}

int diff_folders(const std::string& a, const std::string& b) {
  std::vector<generations::Fault> faults;
  generations::GenerationPtr sides[2];
  const std::string* names[] = {&a, &b};
  for (int i = 0; i < 2; ++i) {
    sides[i] = read_folder(*names[i], {}, faults);
    if (!sides[i]) throw std::runtime_error(*names[i] + "/" + faults.at(0).text());
  }
  auto lines = generations::differences(*sides[0], *sides[1]);
  for (const std::string& line : lines) std::cout << line << "\n";
  return lines.empty() ? 0 : 1;
}

}  // namespace winchhall::app
