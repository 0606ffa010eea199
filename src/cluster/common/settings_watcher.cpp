#include "cluster/common/settings_watcher.hpp"

#include <utility>

#include "cluster/common/log.hpp"

namespace winchhall::cluster {

namespace {

constexpr Millis kPollInterval{2000};

}  // namespace

SettingsWatcher::SettingsWatcher(Runtime& runtime, NodeSettings settings, ChangeCallback on_change)
    : runtime_(runtime), file_(std::move(settings)), on_change_(std::move(on_change)) {}

void SettingsWatcher::start() {
  if (file_.current().path.empty()) return;
  timer_ = runtime_.after(kPollInterval, [this] { poll(); });
}

void SettingsWatcher::poll() {
  start();
  if (file_.changed()) reload();
}

void SettingsWatcher::reload() {
  if (file_.current().path.empty()) return;
  leaf::try_handle_all(
      [this]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(changed, file_.reload());
        on_reloaded(changed);
        return {};
      },
      [](const InvalidInput& error) {
        log_event(LogLevel::error, "settings_refused", {{"reason", error.message()}});
      },
      [] { log_event(LogLevel::error, "settings_refused"); });
}

void SettingsWatcher::on_reloaded(bool changed) {
  if (file_.needs_restart()) log_event(LogLevel::warning, "settings_need_restart");
  if (!changed) return;
  const auto seeds = static_cast<std::int64_t>(file_.current().seeds.size());
  log_event(LogLevel::info, "settings_changed", {{"seeds", seeds}});
  if (on_change_) on_change_(file_.current());
}

}  // namespace winchhall::cluster
