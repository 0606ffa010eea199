// Settings that change while queries run, in the exchange.
#include <utility>

#include "aggregator/coordination/exchange.hpp"

namespace winchhall::core {

using namespace winchhall;

void Exchange::name_figures() {
  figures_of_.resize(settings_.classes.size());
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    const std::string& name = settings_.classes[i].name;
    if (name.empty()) continue;  // queries of it are open still: they count where they began
    std::size_t at = 0;
    while (at < figures_names_.size() && figures_names_[at] != name) ++at;
    if (at == figures_names_.size()) {
      figures_names_.push_back(name);
      figures_.emplace_back();
    }
    figures_of_[i] = at;
  }
}

void Exchange::retune(const Settings& settings) {
  inbox_.push_back([this, settings] {
    ClassTable::Change change = classes_.change(settings.classes);
    settings_ = settings;
    settings_.classes = std::move(change.classes);
    name_figures();
    handle(SettingsChanged{settings_, std::move(change.from)});
  });
}

}  // namespace winchhall::core
