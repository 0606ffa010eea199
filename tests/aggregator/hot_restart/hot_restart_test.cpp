// Hot restart with several processes of one aggregator: the published state, when a process may serve, and
// each process's share of the limits.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "aggregator/hot_restart/process_registry.hpp"
#include "aggregator/hot_restart/state_folder.hpp"

using namespace winchhall::hot_restart;
namespace fs = std::filesystem;

namespace {

State make_state(std::int64_t started, std::uint64_t number = 1, bool listens = true) {
  State s;
  s.name = "n0";
  s.id = {started, 7};
  s.sequence_number = number;
  s.phase = "ready";
  s.listens = listens;
  s.revision = 41;
  winchhall::coordination::Member m;
  m.entry = {"s-1", 3, 1.5, winchhall::ServerState::draining, 123.25};
  m.endpoint = "127.0.0.1:9";
  s.members.push_back(m);
  return s;
}

struct TemporaryFolder {
  std::string path = (fs::temp_directory_path() / "winchhall-takeover-XXXXXX").string();
  TemporaryFolder() { REQUIRE(mkdtemp(path.data())); }
  ~TemporaryFolder() { fs::remove_all(path); }
};

}  // namespace

TEST_CASE(
    "a state is read as it was written, and rejected if truncated at any length or corrupted at any byte") {
  State s = make_state(1000);
  s.known_processes = {{5, 6}, {7, 8}};
  std::string bytes = encode(s), why;
  auto read = decode(bytes, why);
  REQUIRE(read);
  CHECK(read->id == s.id);
  CHECK(read->known_processes == s.known_processes);
  CHECK(read->revision == 41);
  CHECK(read->members[0].entry.started == 123.25);
  CHECK(read->members[0].entry.state == winchhall::ServerState::draining);
  CHECK(read->members[0].endpoint == "127.0.0.1:9");
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    why.clear();
    CHECK_FALSE(decode(bytes.substr(0, cut), why));
    CHECK_FALSE(why.empty());
  }
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string corrupted = bytes;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 0x20);
    CHECK_FALSE(decode(corrupted, why));
  }
  std::string newer_format = bytes;
  newer_format[7] = '2';
  CHECK_FALSE(decode(newer_format, why));
  CHECK(why == "format version 2, expected 1");
}

TEST_CASE("files that are no state are set aside and reported, and files being written are left alone") {
  TemporaryFolder temporary;
  StateFolder folder(temporary.path);
  REQUIRE(folder.is_usable());
  REQUIRE(folder.publish(make_state(1000)));
  REQUIRE(folder.publish(make_state(2000)));
  std::string dir = temporary.path + "/winchhall/";
  std::ofstream(dir + "foreign.state") << "hello";
  std::ofstream(dir + "cut.state") << encode(make_state(3000)).substr(0, 30);
  std::ofstream(dir + "4000-1.state.new") << "half";
  fs::create_directory(dir + "folder.state");
  auto found = folder.scan();
  CHECK(found.states.size() == 2);
  CHECK(found.set_aside.size() == 2);
  CHECK(fs::exists(dir + "foreign.state.set-aside"));
  CHECK(fs::exists(dir + "4000-1.state.new"));
  CHECK(folder.scan().set_aside.empty());
  folder.remove({1000, 7});
  CHECK(folder.scan().states.size() == 1);
  CHECK_FALSE(StateFolder("").is_usable());
  CHECK_FALSE(StateFolder(temporary.path + "/none/at/all").is_usable());
}

TEST_CASE("a process may serve once its predecessors have acknowledged it, and without them after 1.5 s") {
  ProcessRegistry p("n0", {2000, 1}, 0);
  CHECK(p.may_serve(0));
  State predecessor = make_state(1000);
  p.update({predecessor}, 0);
  CHECK(p.has_predecessor(0));
  CHECK_FALSE(p.may_serve(100));
  CHECK(p.may_serve(1500));
  predecessor.known_processes = {{2000, 1}};
  ++predecessor.sequence_number;
  p.update({predecessor}, 200);
  CHECK(p.may_serve(200));
  CHECK_FALSE(p.has_successor(200));
  p.update({predecessor, make_state(3000, 1, false)}, 300);
  CHECK_FALSE(p.has_successor(300));  // it does not listen yet
  CHECK(p.may_serve(300));            // and need not have acknowledged this process
  p.update({predecessor, make_state(3000, 2, true)}, 400);
  CHECK(p.has_successor(400));
  CHECK(p.other_count(400) == 2);
  CHECK(p.listening_count(400) == 2);
}

TEST_CASE(
    "a state that does not change expires, a removed file takes effect at once, and other names are "
    "ignored") {
  ProcessRegistry p("n0", {2000, 1}, 0);
  State predecessor = make_state(1000), foreign = make_state(500);
  foreign.name = "n1";
  p.update({predecessor, foreign}, 0);
  CHECK(p.other_count(0) == 1);
  p.update({predecessor, foreign}, 9000);
  CHECK(p.other_count(9999) == 1);
  CHECK(p.other_count(10000) == 0);
  CHECK(p.expired(10000) == std::vector<ProcessId>{{1000, 7}});
  ++predecessor.sequence_number;  // it had only been stopped, and goes on
  p.update({predecessor}, 11000);
  CHECK(p.other_count(11000) == 1);
  p.update({}, 11100);
  CHECK(p.other_count(11100) == 0);
  CHECK_FALSE(p.has_predecessor(11100));
}

TEST_CASE("the newest endpoint list of all processes that have one is used") {
  ProcessRegistry p("n0", {9000, 1}, 0);
  CHECK(p.latest_list() == nullptr);
  State a = make_state(1000), b = make_state(2000), none = make_state(3000);
  a.revision = 50;
  none.revision = 99;
  none.members.clear();
  p.update({a, b, none}, 0);
  CHECK(p.latest_list()->revision == 50);
}

TEST_CASE("any number of processes together stays within the limits of one") {
  CHECK(rc::check([] {
    winchhall::Settings s;
    s.instances = *rc::gen::inRange(1, 400);
    s.budget_free = *rc::gen::inRange(0, 50);
    int processes = *rc::gen::inRange(1, 4);
    winchhall::Settings each = share_of(s, processes);
    RC_ASSERT(processes * (1.0 / each.instances) <= 1.0 / s.instances + 1e-12);
    RC_ASSERT(processes * each.budget_free <= s.budget_free + 1e-9);
    RC_ASSERT(each.budget_share == s.budget_share);
  }));
}

TEST_CASE("at any times of writing and scanning the new process never serves unknown to a live old process") {
  CHECK(rc::check([] {
    ProcessRegistry old_one("n0", {1000, 1}, 0);
    double new_start = *rc::gen::inRange(0, 1000);
    ProcessRegistry new_one("n0", {2000, 2}, new_start);
    State a = make_state(1000), b = make_state(2000, 1, false);
    a.id = {1000, 1};
    b.id = {2000, 2};
    // From some moment on the old process writes and scans every 500 ms, the new one every 100 ms.
    double next_old = *rc::gen::inRange(0, 500), next_new = new_start;
    new_one.update({a}, new_start);
    bool old_knows = false;
    for (double now = 0; now < new_start + 3000; now += 10) {
      if (now >= next_old) {
        next_old += 500;
        ++a.sequence_number;
        a.known_processes = old_one.known_processes();
        if (now >= new_start) old_one.update({b}, now);
        bool knows = old_one.other_count(now) == 1;
        if (knows && !old_knows) next_old = now;  // a new process is acknowledged at once
        old_knows = knows;
      }
      if (now >= next_new) {
        next_new += 100;
        new_one.update({a}, now);
      }
      if (now >= new_start && new_one.may_serve(now)) {
        RC_ASSERT(old_knows);
        RC_ASSERT(now < new_start + 1000);
        return;
      }
    }
    RC_FAIL("the new process never served");
  }));
}
