// WarmUpWindow: which parts count as sent to a warming server, and for how long.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "aggregator/decision/warm_up_window.hpp"

#include <doctest/doctest.h>

using winchhall::detail::WarmUpWindow;

TEST_CASE("a part counts until its latest possible arrival is before the window") {
  WarmUpWindow window;
  CHECK(window.empty());
  window.add(1, 1000, 20);
  window.on_attempt_ended(1, 1030);
  CHECK(window.work_since(1010) == 20);
  CHECK(window.work_since(1011) == 0);
  CHECK(window.empty());
}

TEST_CASE("a part in flight counts, however long ago it was sent") {
  WarmUpWindow window;
  window.add(1, 1000, 20);
  window.add(2, 1500, 30);
  CHECK(window.work_since(9000) == 50);
  window.on_attempt_ended(1, 9000);
  CHECK(window.work_since(8980) == 50);
  CHECK(window.work_since(8981) == 30);
}

TEST_CASE("a part answered sooner than its work takes counts from its sending") {
  WarmUpWindow window;
  window.add(1, 1000, 200);
  window.on_attempt_ended(1, 1010);
  CHECK(window.work_since(1000) == 200);
  CHECK(window.work_since(1001) == 0);
}

TEST_CASE("a part that was not sent does not count, and an unknown part is ignored") {
  WarmUpWindow window;
  window.add(1, 1000, 20);
  window.remove(1);
  window.on_attempt_ended(1, 1000);
  window.on_attempt_ended(0, 1000);
  CHECK(window.empty());
}

TEST_CASE("parts in flight to a previous process of the server count from their sending") {
  WarmUpWindow window;
  window.add(1, 1000, 20);
  window.add(2, 2000, 30);
  window.on_restart();
  CHECK(window.work_since(1500) == 30);
  window.on_attempt_ended(2, 9000);  // its old connection breaks late
  CHECK(window.work_since(2001) == 0);
}
