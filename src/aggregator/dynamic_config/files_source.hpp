// Members and ranges from a watched folder. What is taken, refused or held is decided by generations::Keeper;
// here are the folder, the thread that reads it, and the log.
#pragma once

#include <memory>
#include <string>

#include "aggregator/coordination/exchange.hpp"
#include "aggregator/dynamic_config/folder.hpp"
#include "aggregator/dynamic_config/keeper.hpp"
#include "aggregator/dynamic_config/settling.hpp"
#include "aggregator/dynamic_config/store.hpp"
#include "aggregator/event_loop/worker.hpp"

namespace winchhall::files {

struct FilesOptions {
  std::string folder{};
  std::string store{};  // a file for what must outlive the process; empty: none
  std::size_t most_bytes = 32 << 20;
  generations::Bounds bounds{};
  generations::KeeperLimits limits{};
  // Rows of a set's bytes, with the faults of reading; called on the worker's thread, one at a time.
  std::function<void(const generations::Bytes&, generations::Rows&, std::vector<generations::Fault>&)> read{};
};

class FilesSource final : public core::MembershipSource, public core::RangeSource {
 public:
  FilesSource(net::Loop& loop, core::Exchange& exchange, FilesOptions options);
  ~FilesSource();

  void start();
  void watch(bool on) override;
  void fetch() override;
  void refresh() override;  // a node knows of a later map: look at once

  generations::Keeper& keeper() { return keeper_; }
  struct Figures {
    std::uint64_t looks = 0, taken = 0, refused = 0, held = 0, disturbed = 0;
    std::uint64_t kept = 0, not_kept = 0;  // by the store
    net::Millis slowest_take = 0;          // ms from the first event of a change to its use
  };
  const Figures& figures() const { return figures_; }

 private:
  struct Read;
  void arm();
  void look();
  void looked(Read& read, net::Millis first_event);
  void tell_members();
  void restore();
  void keep(const generations::Found& found, generations::Bytes bytes);
  void ask_orders();
  void carry_out(std::vector<store::Order> orders, std::vector<generations::GenerationPtr> wanted);
  static generations::GenerationPtr parse(const FilesOptions& options, const generations::Bytes& bytes,
                                          std::uint64_t digest);

  net::Loop& loop_;
  core::Exchange& exchange_;
  FilesOptions options_;
  generations::Keeper keeper_;
  generations::Settling settling_;
  std::unique_ptr<FolderWatch> folder_;
  net::TimerId timer_{}, gone_timer_{};
  bool looking_ = false, there_ = true;
  std::uint64_t last_digest_ = 0, last_number_ = 0;
  Figures figures_;
  // Used on the worker's thread only, but for its begin and end.
  std::shared_ptr<store::Opened> store_;
  net::TimerId orders_timer_{};
  net::Worker worker_;  // last: its thread ends before all else goes
};

}  // namespace winchhall::files
