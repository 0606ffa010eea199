#include "app/lifecycle.hpp"

namespace winchhall::app {

const char* Lifecycle::name() const {
  switch (phase_) {
    case Phase::Starting:
      return "starting";
    case Phase::Ready:
      return "ready";
    case Phase::Draining:
      return "draining";
    case Phase::Stopped:
      return "stopped";
  }
  return "";
}

void Lifecycle::serving() {
  if (phase_ == Phase::Starting) phase_ = Phase::Ready;
}

void Lifecycle::terminate(Millis now) {
  if (phase_ == Phase::Draining || phase_ == Phase::Stopped) return;
  phase_ = Phase::Draining;
  drain_since_ = now;
}

void Lifecycle::idle(Millis now) {
  if (closing(now)) phase_ = Phase::Stopped;
}

}  // namespace winchhall::app
