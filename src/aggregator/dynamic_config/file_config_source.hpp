// Source of members and ranges that reads them from files in a watched directory.
#pragma once

#include <memory>
#include <string>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/dynamic_config/config_generation_manager.hpp"
#include "aggregator/dynamic_config/debouncer.hpp"
#include "aggregator/dynamic_config/folder_watch.hpp"
#include "aggregator/dynamic_config/store.hpp"
#include "aggregator/event_loop/worker.hpp"

namespace winchhall::dynamic_config {

// Settings of a FileConfigSource.
struct FileConfigOptions {
  std::string folder{};
  std::string store{};  // database file, see store.hpp; empty: generations are not persisted
  std::size_t max_file_bytes = 32 << 20;  // maximum size of a file
  dynamic_config::Bounds bounds{};
  dynamic_config::ConfigGenerationLimits limits{};
  // Parses the bytes of all files into rows and faults. Called on the worker's thread, one call at a time.
  std::function<void(const dynamic_config::Bytes&, dynamic_config::Rows&,
                     std::vector<dynamic_config::Fault>&)>
      parse_files{};
};

// Reads, parses and validates the files on a worker thread, lets ConfigGenerationManager decide what is
// applied, passes members and range map to the router, persists the results in the store, and carries out
// operators' commands that are left there. All members are called on the event loop; `loop` and `router` must
// outlive the source.
class FileConfigSource final : public coordination::MembershipSource, public coordination::RangeSource {
 public:
  FileConfigSource(event_loop::Loop& loop, coordination::RequestRouter& router, FileConfigOptions options);
  ~FileConfigSource();

  // Restores the stored generation, if there is a store, and scans the directory from now on.
  void start();
  void watch(bool on) override;
  void fetch() override;
  // Called when a node has a newer range map: the directory is scanned soon.
  void refresh() override;

  dynamic_config::ConfigGenerationManager& generation_manager() { return generation_manager_; }
  // Counters since the start.
  struct Figures {
    std::uint64_t scans = 0, taken = 0, refused = 0, held = 0;
    std::uint64_t disturbed = 0;               // scans during which the files changed
    std::uint64_t stored = 0, not_stored = 0;  // writes to the store that succeeded, and failed
    // Longest time in ms from the first event of a change to its application.
    event_loop::Millis max_apply_time = 0;
  };
  const Figures& figures() const { return figures_; }

 private:
  struct ScanResult;
  void schedule_scan();
  void scan();
  void on_scanned(ScanResult& scanned, event_loop::Millis first_event);
  void publish_members();
  void restore();
  void persist(const dynamic_config::ValidationResult& result, dynamic_config::Bytes bytes);
  void fetch_operator_commands();
  void run_operator_commands(std::vector<dynamic_config::OperatorCommand> commands,
                             std::vector<dynamic_config::ConfigGenerationPtr> targets);
  static dynamic_config::ConfigGenerationPtr parse(const FileConfigOptions& options,
                                                   const dynamic_config::Bytes& bytes, std::uint64_t digest);

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  FileConfigOptions options_;
  dynamic_config::ConfigGenerationManager generation_manager_;
  dynamic_config::Debouncer debouncer_;
  std::unique_ptr<FolderWatch> folder_;
  event_loop::TimerId timer_{}, removal_timer_{};
  bool scanning_ = false;
  bool folder_exists_ = true;  // the directory could be opened at the last scan
  std::uint64_t last_digest_ = 0, last_number_ = 0;
  Figures figures_;
  // Used on the worker's thread only, except for opening and destruction.
  std::shared_ptr<dynamic_config::OpenedStore> store_;
  event_loop::TimerId command_timer_{};
  event_loop::Worker worker_;  // last: its thread ends before the members that it uses are destroyed
};

}  // namespace winchhall::dynamic_config
