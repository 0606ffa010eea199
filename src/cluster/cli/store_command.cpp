#include "cluster/cli/store_command.hpp"

#include <cstdio>
#include <cstdlib>
#include <random>

#include "cluster/cli/exit_codes.hpp"
#include "cluster/store/backup_file.hpp"
#include "cluster/store/offline_store.hpp"
#include "cluster/store/restored_state.hpp"
#include "cluster/store/state_summary.hpp"

namespace winchhall::cluster {

namespace {

constexpr int kExitCorrupt = 1;  // `store check` and the other actions: the store is corrupt

// Parsed arguments of an action.
struct Arguments {
  std::vector<std::string> paths;
  std::string prefix;
  std::string address;
  std::string http_address;
};

using Action = leaf::result<int> (*)(const Arguments&);

struct ActionEntry {
  const char* name;
  std::size_t path_count;
  Action run;
};

int usage() {
  std::fprintf(stderr,
               "usage: winchhall-cluster store check DIR\n"
               "       winchhall-cluster store show DIR [--prefix P]\n"
               "       winchhall-cluster store backup DIR FILE\n"
               "       winchhall-cluster store restore FILE DIR [--address IP:PORT] [--http IP:PORT]\n");
  return kExitUsage;
}

std::string* option_target(Arguments& arguments, const std::string& name) {
  if (name == "--prefix") return &arguments.prefix;
  if (name == "--address") return &arguments.address;
  if (name == "--http") return &arguments.http_address;
  return nullptr;
}

// Parses the words after the name of the action. False for an unknown option or an option without a value.
bool parse(const std::vector<std::string>& words, Arguments& arguments) {
  for (std::size_t index = 1; index < words.size(); ++index) {
    if (!words[index].starts_with("--")) {
      arguments.paths.push_back(words[index]);
      continue;
    }
    std::string* target = option_target(arguments, words[index]);
    if (!target || index + 1 == words.size()) return false;
    *target = words[++index];
  }
  return true;
}

leaf::result<int> check(const Arguments& arguments) {
  BOOST_LEAF_AUTO(entries, read_offline_store(arguments.paths[0]));
  const StateSummary summary = summarize_state(entries);
  std::printf("%s: %zu entries, %zu bytes: %zu registers, %zu shards, %zu records; %s\n",
              arguments.paths[0].c_str(), summary.entries, summary.bytes, summary.registers, summary.shards,
              summary.records, summary.unreadable.empty() ? "sound" : "not sound");
  for (const std::string& key : summary.unreadable) std::printf("unreadable: %s\n", key.c_str());
  return summary.unreadable.empty() ? EXIT_SUCCESS : kExitCorrupt;
}

leaf::result<int> show(const Arguments& arguments) {
  BOOST_LEAF_AUTO(entries, read_offline_store(arguments.paths[0]));
  for (const StoreEntry& entry : entries) {
    const std::string line = describe_entry(entry);
    if (line.starts_with(arguments.prefix)) std::printf("%s\n", line.c_str());
  }
  return EXIT_SUCCESS;
}

leaf::result<int> backup(const Arguments& arguments) {
  BOOST_LEAF_AUTO(entries, read_offline_store(arguments.paths[0]));
  BOOST_LEAF_CHECK(write_backup(arguments.paths[1], entries));
  std::printf("%s: %zu entries\n", arguments.paths[1].c_str(), entries.size());
  return EXIT_SUCCESS;
}

std::uint64_t random_member_id() {
  std::random_device device;
  const std::uint64_t id = std::uint64_t{device()} << 32 | device();
  return id == 0 ? 1 : id;
}

leaf::result<int> restore(const Arguments& arguments) {
  BOOST_LEAF_AUTO(entries, read_backup(arguments.paths[0]));
  BOOST_LEAF_AUTO(
      restored, make_restored_state(entries, random_member_id(), arguments.address, arguments.http_address));
  BOOST_LEAF_CHECK(create_offline_store(arguments.paths[1], restored));
  std::printf("%s: %zu entries, for a new group of one member\n", arguments.paths[1].c_str(),
              restored.size());
  return EXIT_SUCCESS;
}

constexpr ActionEntry kActions[] = {
    {"check", 1, &check}, {"show", 1, &show}, {"backup", 2, &backup}, {"restore", 2, &restore}};

leaf::result<int> run_action(const ActionEntry& action, const Arguments& arguments) {
  return leaf::try_handle_some([&] { return action.run(arguments); },
                               [](const StoreCorruption& corruption) -> leaf::result<int> {
                                 std::fprintf(stderr, "store %s: damaged: %s\n", corruption.path.c_str(),
                                              corruption.detail.c_str());
                                 return kExitCorrupt;
                               });
}

}  // namespace

leaf::result<int> run_store_command(const std::vector<std::string>& arguments) {
  if (arguments.empty()) return usage();
  Arguments parsed;
  if (!parse(arguments, parsed)) return usage();
  for (const ActionEntry& action : kActions) {
    const bool named = arguments[0] == action.name;
    if (named && parsed.paths.size() == action.path_count) return run_action(action, parsed);
  }
  return usage();
}

}  // namespace winchhall::cluster
