// A real folder, written to in every way that tools write: what is taken, what is refused, and what queries
// see.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/dynamic_config/file_config_source.hpp"
#include "tests/aggregator/support/router_fixture.hpp"

using namespace winchhall;
using namespace winchhall::testing;
namespace fs = std::filesystem;

namespace {

struct Folder {
  Folder() {
    const char* dir = std::getenv("TMPDIR");
    std::string made = std::string(dir ? dir : "/tmp") + "/winchhall-files-XXXXXX";
    REQUIRE(mkdtemp(made.data()));
    root = made;
    path = root / "current";
    fs::create_directory(path);
  }
  ~Folder() { fs::remove_all(root); }
  void write(const std::string& name, const std::string& text) const { std::ofstream(path / name) << text; }
  void rename_over(const std::string& name, const std::string& text) const {
    write(name + ".new", text);
    fs::rename(path / (name + ".new"), path / name);
  }
  static std::string nodes(int count, int from = 0) {
    std::string all = "<nodes xmlns=\"urn:winchhall:files:1\">\n";
    for (int i = from; i < from + count; ++i)
      all += "<node id=\"n" + std::to_string(i) + "\" address=\"127.0.0.1:" + std::to_string(9000 + i) +
             "\"/>\n";
    return all + "</nodes>\n";
  }
  static std::string ranges(const std::vector<std::string>& holders) {
    std::string all = "<ranges xmlns=\"urn:winchhall:files:1\">\n";
    std::uint64_t width = ranges::kKeyEnd / holders.size();
    for (std::size_t i = 0; i < holders.size(); ++i)
      all += "<range id=\"" + std::to_string(i) + "\" from=\"" + std::to_string(i * width) + "\" to=\"" +
             std::to_string(i + 1 == holders.size() ? ranges::kKeyEnd : (i + 1) * width) +
             "\"><holder server=\"" + holders[i] + "\"/></range>\n";
    return all + "</ranges>\n";
  }
  fs::path root, path;
};

struct FilesStage {
  explicit FilesStage(const Folder& folder, std::size_t most = 1 << 20)
      : router(
            two_classes(), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        source(loop, router, options(folder, most)) {
    spdlog::set_level(spdlog::level::off);
    router.attach(nobody, source, &source);
    router.start({});
    source.start();
  }
  static dynamic_config::FileConfigOptions options(const Folder& folder, std::size_t most) {
    dynamic_config::FileConfigOptions o;
    o.folder = folder.path;
    o.max_file_bytes = most;
    o.parse_files = app::read_set;
    return o;
  }
  void until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop.now() + 60000;  // only ends a test that hangs
    while (!done()) {
      loop.turn(10);
      router.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  std::size_t in_use() {
    return source.generation_manager().current() ? source.generation_manager().current()->members.size() : 0;
  }
  void until_used(std::size_t nodes) {
    until([&] { return in_use() == nodes; });
  }
  void until_refused(std::uint64_t times) {
    until([&] { return source.figures().refused >= times; });
  }
  std::string last_reason() { return source.generation_manager().history().back().why; }

  event_loop::Loop loop;
  coordination::RequestRouter router;
  Nobody nobody;
  dynamic_config::FileConfigSource source;
};

}  // namespace

TEST_CASE("a set is taken at the start, and again by rewrite in place, rename over, and a swapped link") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesStage s(f);
  s.until_used(8);
  CHECK(s.router.known_servers() == 8);
  f.write("nodes.xml", Folder::nodes(9));
  s.until_used(9);
  f.rename_over("nodes.xml", Folder::nodes(10));
  s.until_used(10);
  // A tool that prepares a folder and swaps a link to it.
  fs::create_directory(f.root / "next");
  std::ofstream(f.root / "next" / "nodes.xml") << Folder::nodes(11);
  fs::rename(f.path, f.root / "old");
  fs::create_symlink("next", f.path);
  s.until_used(11);
  fs::create_directory(f.root / "third");
  std::ofstream(f.root / "third" / "nodes.xml") << Folder::nodes(12);
  fs::create_symlink("third", f.root / "link");
  fs::rename(f.root / "link", f.path);
  s.until_used(12);
  // And it goes on to be followed there.
  std::ofstream(f.root / "third" / "nodes.xml") << Folder::nodes(13);
  s.until_used(13);
  CHECK(s.source.figures().refused == 0);
}

TEST_CASE("a file caught in the middle of a write is refused, and its whole one taken") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesStage s(f);
  s.until_used(8);
  std::string whole = Folder::nodes(9);
  f.write("nodes.xml", whole.substr(0, whole.size() / 2));
  s.until_refused(1);
  CHECK(has(s.last_reason(), "nodes.xml:"));
  CHECK(s.in_use() == 8);
  f.write("nodes.xml", whole);
  s.until_used(9);
}

TEST_CASE("two files of one set, written one after the other: what doesn't fit is refused until it does") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  f.write("ranges.xml", Folder::ranges({"n0", "n1"}));
  FilesStage s(f);
  s.until_used(8);
  CHECK(s.router.map().size() == 2);
  f.write("ranges.xml", Folder::ranges({"n0", "n1", "n8"}));
  s.until_refused(1);
  CHECK(has(s.last_reason(), "holder 'n8' of range 2 is not in nodes.xml"));
  CHECK(s.router.map().size() == 2);
  f.write("nodes.xml", Folder::nodes(9));
  // What range 2 had before were n1's keys: an operator's word is wanted where no holder stays.
  s.until([&] { return s.source.figures().held + s.source.figures().taken >= 2; });
}

TEST_CASE("the same bytes again are no new generation, and a change back and forth is none either") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesStage s(f);
  s.until_used(8);
  auto number = s.source.generation_manager().number();
  auto looks = s.source.figures().scans;
  f.write("nodes.xml", Folder::nodes(8));
  s.until([&] { return s.source.figures().scans > looks; });
  looks = s.source.figures().scans;
  f.write("nodes.xml", Folder::nodes(9));
  f.write("nodes.xml", Folder::nodes(8));
  s.until([&] { return s.source.figures().scans > looks; });
  CHECK(s.source.generation_manager().number() == number);
}

TEST_CASE("a folder that vanishes leaves what is in use, and is followed when it is back") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesStage s(f);
  s.until_used(8);
  fs::remove_all(f.path);
  auto looks = s.source.figures().scans;
  s.until([&] { return s.source.figures().scans > looks; });
  CHECK(s.in_use() == 8);
  fs::create_directory(f.path);
  f.write("nodes.xml", Folder::nodes(9));
  s.until_used(9);
}

TEST_CASE(
    "XML that expands without end or refers outside, names that lead away, what is too large or no file") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesStage s(f, 20000);
  s.until_used(8);
  std::string body = Folder::nodes(9);
  f.write("nodes.xml", "<!DOCTYPE n [<!ENTITY a \"aaaaaaaaaa\"><!ENTITY b \"&a;&a;&a;&a;\">]>" + body);
  s.until_refused(1);
  CHECK(has(s.last_reason(), "a DOCTYPE is not allowed"));
  f.write("nodes.xml", "<!DOCTYPE n SYSTEM \"file:///etc/passwd\">" + body);
  s.until_refused(2);
  std::ofstream(f.root / "outside.xml") << body;
  fs::remove(f.path / "nodes.xml");
  fs::create_symlink("../outside.xml", f.path / "nodes.xml");
  s.until_refused(3);
  CHECK(has(s.last_reason(), "symbolic link"));
  fs::remove(f.path / "nodes.xml");
  f.write("nodes.xml", Folder::nodes(2000));
  s.until_refused(4);
  CHECK(has(s.last_reason(), "larger than 20000 bytes"));
  fs::remove(f.path / "nodes.xml");
  REQUIRE(mkfifo((f.path / "nodes.xml").c_str(), 0600) == 0);
  s.until_refused(5);
  CHECK(has(s.last_reason(), "is no file"));
  fs::remove(f.path / "nodes.xml");
  f.write("nodes.xml", body);
  s.until_used(9);
}

TEST_CASE("a node that a set drops is drained at once, and a query sees the one set or the other") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesStage s(f);
  s.until_used(8);
  f.write("nodes.xml", Folder::nodes(7));
  s.until_used(7);
  bool draining = false;
  for (const auto& m : s.source.generation_manager().members(s.loop.now()))
    if (m.entry.server == "n7") draining = m.entry.state == winchhall::ServerState::draining;
  CHECK(draining);
  CHECK(s.router.known_servers() == 8);  // until it is gone, what it has may be answered
}

TEST_CASE(
    "a flood of rewrites, a third of them spoilt: only whole sets are ever in use, and the last one wins") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(20));
  f.write("ranges.xml", Folder::ranges({"n0", "n1"}));
  FilesStage s(f);
  s.until_used(20);
  for (int i = 0; i < 300; ++i) {
    std::string text = Folder::nodes(20 + i % 3);
    if (i % 3 == 2) text.resize(text.size() * static_cast<std::size_t>(i % 7) / 8);
    if (i % 2)
      f.write("nodes.xml", text);
    else
      f.rename_over("nodes.xml", text);
    s.loop.turn(1);
    s.router.run();
    std::size_t now = s.in_use();
    CHECK((now >= 20 && now <= 22));
    CHECK(s.router.known_servers() >= now);
  }
  f.rename_over("nodes.xml", Folder::nodes(23));
  s.until_used(23);
}
