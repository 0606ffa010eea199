// Two processes of one aggregator: what they tell each other, who may begin when, and what each may spend.
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

State state(std::int64_t started, std::uint64_t number = 1, bool listens = true) {
  State s;
  s.name = "n0";
  s.id = {started, 7};
  s.number = number;
  s.phase = "ready";
  s.listens = listens;
  s.revision = 41;
  winchhall::coordination::Member m;
  m.entry = {"s-1", 3, 1.5, winchhall::ServerState::draining, 123.25};
  m.endpoint = "127.0.0.1:9";
  s.members.push_back(m);
  return s;
}

struct Scratch {
  std::string path = (fs::temp_directory_path() / "winchhall-takeover-XXXXXX").string();
  Scratch() { REQUIRE(mkdtemp(path.data())); }
  ~Scratch() { fs::remove_all(path); }
};

}  // namespace

TEST_CASE("a state is read as it was written, and cut at any length or spoilt at any byte it is none") {
  State s = state(1000);
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
    std::string spoilt = bytes;
    spoilt[i] = static_cast<char>(spoilt[i] ^ 0x20);
    CHECK_FALSE(decode(spoilt, why));
  }
  std::string later = bytes;
  later[7] = '2';
  CHECK_FALSE(decode(later, why));
  CHECK(why == "version 2, known is 1");
}

TEST_CASE("files that are no state are set aside and named; what is being written is left alone") {
  Scratch scratch;
  StateFolder folder(scratch.path);
  REQUIRE(folder.works());
  REQUIRE(folder.leave(state(1000)));
  REQUIRE(folder.leave(state(2000)));
  std::string dir = scratch.path + "/winchhall/";
  std::ofstream(dir + "foreign.state") << "hello";
  std::ofstream(dir + "cut.state") << encode(state(3000)).substr(0, 30);
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
  CHECK_FALSE(StateFolder("").works());
  CHECK_FALSE(StateFolder(scratch.path + "/none/at/all").works());
}

TEST_CASE("one begins when those before it have heard of it, and without them in a second and a half") {
  ProcessRegistry p("n0", {2000, 1}, 0);
  CHECK(p.may_begin(0));
  State predecessor = state(1000);
  p.saw({predecessor}, 0);
  CHECK(p.predecessor(0));
  CHECK_FALSE(p.may_begin(100));
  CHECK(p.may_begin(1500));
  predecessor.known_processes = {{2000, 1}};
  ++predecessor.number;
  p.saw({predecessor}, 200);
  CHECK(p.may_begin(200));
  CHECK_FALSE(p.successor(200));
  p.saw({predecessor, state(3000, 1, false)}, 300);
  CHECK_FALSE(p.successor(300));  // it has not begun to listen
  CHECK(p.may_begin(300));        // and need not have heard of us
  p.saw({predecessor, state(3000, 2, true)}, 400);
  CHECK(p.successor(400));
  CHECK(p.others(400) == 2);
  CHECK(p.listening(400) == 2);
}

TEST_CASE(
    "a word that does not change expires; a file that is gone is gone at once; other names count nothing") {
  ProcessRegistry p("n0", {2000, 1}, 0);
  State predecessor = state(1000), foreign = state(500);
  foreign.name = "n1";
  p.saw({predecessor, foreign}, 0);
  CHECK(p.others(0) == 1);
  p.saw({predecessor, foreign}, 9000);
  CHECK(p.others(9999) == 1);
  CHECK(p.others(10000) == 0);
  CHECK(p.expired(10000) == std::vector<ProcessId>{{1000, 7}});
  ++predecessor.number;  // it had only been stopped
  p.saw({predecessor}, 11000);
  CHECK(p.others(11000) == 1);
  p.saw({}, 11100);
  CHECK(p.others(11100) == 0);
  CHECK_FALSE(p.predecessor(11100));
}

TEST_CASE("the later list is taken, of whoever has one") {
  ProcessRegistry p("n0", {9000, 1}, 0);
  CHECK(p.latest_list() == nullptr);
  State a = state(1000), b = state(2000), none = state(3000);
  a.revision = 50;
  none.revision = 99;
  none.members.clear();
  p.saw({a, b, none}, 0);
  CHECK(p.latest_list()->revision == 50);
}

TEST_CASE("whatever number of processes, what they may spend together is never more than one may") {
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

TEST_CASE(
    "two that look at each other's words at any times: the new one never begins unknown while the old one "
    "looks") {
  CHECK(rc::check([] {
    ProcessRegistry old_one("n0", {1000, 1}, 0);
    double born = *rc::gen::inRange(0, 1000);
    ProcessRegistry new_one("n0", {2000, 2}, born);
    State a = state(1000), b = state(2000, 1, false);
    a.id = {1000, 1};
    b.id = {2000, 2};
    // The old one writes and looks every half second from some moment on, the new one every tenth.
    double next_old = *rc::gen::inRange(0, 500), next_new = born;
    new_one.saw({a}, born);
    bool old_knows = false;
    for (double now = 0; now < born + 3000; now += 10) {
      if (now >= next_old) {
        next_old += 500;
        ++a.number;
        a.known_processes = old_one.known_processes();
        if (now >= born) old_one.saw({b}, now);
        bool knows = old_one.others(now) == 1;
        if (knows && !old_knows) next_old = now;  // who has just come is told at once
        old_knows = knows;
      }
      if (now >= next_new) {
        next_new += 100;
        new_one.saw({a}, now);
      }
      if (now >= born && new_one.may_begin(now)) {
        RC_ASSERT(old_knows);
        RC_ASSERT(now < born + 1000);
        return;
      }
    }
    RC_FAIL("it never began");
  }));
}
