// Members and ranges from a watched folder. What is taken, refused or held is decided by
// generations::ConfigGenerationManager; here are the folder, the thread that reads it, and the log.
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

struct FileConfigOptions {
  std::string folder{};
  std::string store{};  // a file for what must outlive the process; empty: none
  std::size_t most_bytes = 32 << 20;
  dynamic_config::Bounds bounds{};
  dynamic_config::ConfigGenerationLimits limits{};
  // Rows of a set's bytes, with the faults of reading; called on the worker's thread, one at a time.
  std::function<void(const dynamic_config::Bytes&, dynamic_config::Rows&,
                     std::vector<dynamic_config::Fault>&)>
      read{};
};

class FileConfigSource final : public coordination::MembershipSource, public coordination::RangeSource {
 public:
  FileConfigSource(event_loop::Loop& loop, coordination::RequestRouter& router, FileConfigOptions options);
  ~FileConfigSource();

  void start();
  void watch(bool on) override;
  void fetch() override;
  void refresh() override;  // a node knows of a later map: look at once

  dynamic_config::ConfigGenerationManager& generation_manager() { return generation_manager_; }
  struct Figures {
    std::uint64_t scans = 0, taken = 0, refused = 0, held = 0, disturbed = 0;
    std::uint64_t stored = 0, not_stored = 0;  // by the store
    event_loop::Millis slowest_take = 0;       // ms from the first event of a change to its use
  };
  const Figures& figures() const { return figures_; }

 private:
  struct Read;
  void arm();
  void scan();
  void on_scanned(Read& read, event_loop::Millis first_event);
  void publish_members();
  void restore();
  void keep(const dynamic_config::ValidationResult& found, dynamic_config::Bytes bytes);
  void fetch_operator_commands();
  void carry_out(std::vector<dynamic_config::OperatorCommand> orders,
                 std::vector<dynamic_config::ConfigGenerationPtr> wanted);
  static dynamic_config::ConfigGenerationPtr parse(const FileConfigOptions& options,
                                                   const dynamic_config::Bytes& bytes, std::uint64_t digest);

  event_loop::Loop& loop_;
  coordination::RequestRouter& router_;
  FileConfigOptions options_;
  dynamic_config::ConfigGenerationManager generation_manager_;
  dynamic_config::Debouncer debouncer_;
  std::unique_ptr<FolderWatch> folder_;
  event_loop::TimerId timer_{}, removal_timer_{};
  bool scanning_ = false, there_ = true;
  std::uint64_t last_digest_ = 0, last_number_ = 0;
  Figures figures_;
  // Used on the worker's thread only, but for its begin and end.
  std::shared_ptr<dynamic_config::OpenedStore> store_;
  event_loop::TimerId orders_timer_{};
  event_loop::Worker worker_;  // last: its thread ends before all else goes
};

}  // namespace winchhall::dynamic_config
