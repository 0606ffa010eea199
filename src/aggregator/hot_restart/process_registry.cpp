#include "aggregator/hot_restart/process_registry.hpp"

#include <algorithm>

namespace winchhall::hot_restart {

void ProcessRegistry::update(const std::vector<State>& states, Millis now) {
  std::map<ProcessId, KnownProcess> next;
  for (const State& s : states) {
    if (s.name != name_ || s.id == own_) continue;
    auto it = known_.find(s.id);
    bool changed = it == known_.end() || it->second.state.sequence_number != s.sequence_number;
    next[s.id] = {s, changed ? now : it->second.changed_at};
  }
  known_ = std::move(next);
}

int ProcessRegistry::other_count(Millis now) const {
  return static_cast<int>(
      std::count_if(known_.begin(), known_.end(), [&](auto& k) { return live(k.second, now); }));
}

bool ProcessRegistry::has_predecessor(Millis now) const {
  return std::any_of(known_.begin(), known_.end(),
                     [&](auto& k) { return k.first < own_ && live(k.second, now); });
}

bool ProcessRegistry::has_successor(Millis now) const {
  return std::any_of(known_.begin(), known_.end(), [&](auto& k) {
    return own_ < k.first && k.second.state.listens && live(k.second, now);
  });
}

int ProcessRegistry::listening_count(Millis now) const {
  return static_cast<int>(std::count_if(
      known_.begin(), known_.end(), [&](auto& k) { return k.second.state.listens && live(k.second, now); }));
}

bool ProcessRegistry::may_serve(Millis now) const {
  if (now >= started_at_ + kAcknowledgeTimeout) return true;
  return std::all_of(known_.begin(), known_.end(), [&](auto& k) {
    const auto& heard = k.second.state.known_processes;
    return own_ < k.first || std::find(heard.begin(), heard.end(), own_) != heard.end();
  });
}

std::vector<ProcessId> ProcessRegistry::known_processes() const {
  std::vector<ProcessId> list;
  for (const auto& [id, known] : known_) list.push_back(id);
  return list;
}

std::vector<ProcessId> ProcessRegistry::expired(Millis now) const {
  std::vector<ProcessId> list;
  for (const auto& [id, known] : known_)
    if (!live(known, now)) list.push_back(id);
  return list;
}

const State* ProcessRegistry::latest_list() const {
  const State* best = nullptr;
  for (const auto& [id, known] : known_)
    if (!known.state.members.empty() && (!best || known.state.revision >= best->revision))
      best = &known.state;
  return best;
}

winchhall::Settings share_of(winchhall::Settings s, int processes) {
  processes = std::max(1, processes);
  s.instances = std::max(1, s.instances) * processes;
  s.budget_free /= processes;  // budget_share is relative to each process's own requests
  return s;
}

}  // namespace winchhall::hot_restart
