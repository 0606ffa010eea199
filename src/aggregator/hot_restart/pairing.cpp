#include "aggregator/hot_restart/pairing.hpp"

#include <algorithm>

namespace winchhall::takeover {

void Pairing::saw(const std::vector<State>& states, Millis now) {
  std::map<Who, Known> next;
  for (const State& s : states) {
    if (s.name != name_ || s.who == own_) continue;
    auto it = known_.find(s.who);
    bool changed = it == known_.end() || it->second.state.number != s.number;
    next[s.who] = {s, changed ? now : it->second.changed_at};
  }
  known_ = std::move(next);
}

int Pairing::others(Millis now) const {
  return static_cast<int>(
      std::count_if(known_.begin(), known_.end(), [&](auto& k) { return live(k.second, now); }));
}

bool Pairing::predecessor(Millis now) const {
  return std::any_of(known_.begin(), known_.end(),
                     [&](auto& k) { return k.first < own_ && live(k.second, now); });
}

bool Pairing::successor(Millis now) const {
  return std::any_of(known_.begin(), known_.end(), [&](auto& k) {
    return own_ < k.first && k.second.state.listens && live(k.second, now);
  });
}

int Pairing::listening(Millis now) const {
  return static_cast<int>(std::count_if(
      known_.begin(), known_.end(), [&](auto& k) { return k.second.state.listens && live(k.second, now); }));
}

bool Pairing::may_begin(Millis now) const {
  if (now >= born_ + kAnswerWithin) return true;
  return std::all_of(known_.begin(), known_.end(), [&](auto& k) {
    const auto& heard = k.second.state.heard_of;
    return own_ < k.first || std::find(heard.begin(), heard.end(), own_) != heard.end();
  });
}

std::vector<Who> Pairing::heard_of() const {
  std::vector<Who> list;
  for (const auto& [who, known] : known_) list.push_back(who);
  return list;
}

std::vector<Who> Pairing::expired(Millis now) const {
  std::vector<Who> list;
  for (const auto& [who, known] : known_)
    if (!live(known, now)) list.push_back(who);
  return list;
}

const State* Pairing::latest_list() const {
  const State* best = nullptr;
  for (const auto& [who, known] : known_)
    if (!known.state.members.empty() && (!best || known.state.revision >= best->revision))
      best = &known.state;
  return best;
}

winchhall::Settings share_of(winchhall::Settings s, int processes) {
  processes = std::max(1, processes);
  s.brokers = std::max(1, s.brokers) * processes;
  s.budget_free /= processes;  // shares of what each took add up by themselves
  return s;
}

}  // namespace winchhall::takeover
