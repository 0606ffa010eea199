// RequestRouter: settings changes while queries are open.
#include <utility>

#include "aggregator/coordination/request_router.hpp"

namespace winchhall::coordination {

using namespace winchhall;

void RequestRouter::assign_counters() {
  counters_by_class_.resize(settings_.classes.size());
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const std::string& name = settings_.classes[i].name;
    if (name.empty()) continue;  // used by open queries only: they keep their counters
    std::size_t at = 0;
    while (at < counter_names_.size() && counter_names_[at] != name) ++at;
    if (at == counter_names_.size()) {
      counter_names_.push_back(name);
      counters_.emplace_back();
    }
    counters_by_class_[i] = at;
  }
}

void RequestRouter::change_settings(const Settings& settings) {
  event_queue_.push_back([this, settings] {
    ClassRegistry::Change change = classes_.change(settings.classes);
    settings_ = settings;
    settings_.classes = std::move(change.classes);
    assign_counters();
    handle(SettingsChanged{settings_, std::move(change.from)});
  });
}

}  // namespace winchhall::coordination
