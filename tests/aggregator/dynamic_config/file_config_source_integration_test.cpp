// FileConfigSource on a real directory that is written to in the ways in which tools write: what is applied,
// what is rejected, and which nodes the request router gets.
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

struct FilesFixture {
  explicit FilesFixture(const Folder& folder, std::size_t most = 1 << 20)
      : router(
            two_classes(), 7, [this] { return loop.now(); }, [](const std::string&) {}),
        source(loop, router, options(folder, most)) {
    spdlog::set_level(spdlog::level::off);
    router.attach(transport, source, &source);
    router.start({});
    source.start();
  }
  static dynamic_config::FileConfigOptions options(const Folder& folder, std::size_t most) {
    dynamic_config::FileConfigOptions o;
    o.folder = folder.path;
    o.max_file_bytes = most;
    o.parse_files = app::read_config_files;
    return o;
  }
  void wait_until(const std::function<bool()>& done) {
    event_loop::Millis give_up = loop.now() + 60000;  // only ends a test that hangs
    while (!done()) {
      loop.run_once(10);
      router.run();
      REQUIRE(loop.now() < give_up);
    }
  }
  std::size_t active_nodes() {
    return source.generation_manager().current() ? source.generation_manager().current()->members.size() : 0;
  }
  void wait_for_nodes(std::size_t nodes) {
    wait_until([&] { return active_nodes() == nodes; });
  }
  void wait_for_rejections(std::uint64_t times) {
    wait_until([&] { return source.figures().refused >= times; });
  }
  std::string last_reason() { return source.generation_manager().history().back().why; }

  event_loop::Loop loop;
  coordination::RequestRouter router;
  NullTransport transport;
  dynamic_config::FileConfigSource source;
};

}  // namespace

TEST_CASE(
    "files are applied at the start and after a rewrite in place, a rename over them, and a swapped link") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesFixture s(f);
  s.wait_for_nodes(8);
  CHECK(s.router.known_servers() == 8);
  f.write("nodes.xml", Folder::nodes(9));
  s.wait_for_nodes(9);
  f.rename_over("nodes.xml", Folder::nodes(10));
  s.wait_for_nodes(10);
  // As by a tool that prepares a directory and swaps a link to it.
  fs::create_directory(f.root / "next");
  std::ofstream(f.root / "next" / "nodes.xml") << Folder::nodes(11);
  fs::rename(f.path, f.root / "old");
  fs::create_symlink("next", f.path);
  s.wait_for_nodes(11);
  fs::create_directory(f.root / "third");
  std::ofstream(f.root / "third" / "nodes.xml") << Folder::nodes(12);
  fs::create_symlink("third", f.root / "link");
  fs::rename(f.root / "link", f.path);
  s.wait_for_nodes(12);
  // Changes in the linked directory are detected.
  std::ofstream(f.root / "third" / "nodes.xml") << Folder::nodes(13);
  s.wait_for_nodes(13);
  CHECK(s.source.figures().refused == 0);
}

TEST_CASE("a partly written file is rejected, and the complete one applied") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesFixture s(f);
  s.wait_for_nodes(8);
  std::string complete = Folder::nodes(9);
  f.write("nodes.xml", complete.substr(0, complete.size() / 2));
  s.wait_for_rejections(1);
  CHECK(has(s.last_reason(), "nodes.xml:"));
  CHECK(s.active_nodes() == 8);
  f.write("nodes.xml", complete);
  s.wait_for_nodes(9);
}

TEST_CASE("two files written one after the other: contradictory contents are rejected until they match") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  f.write("ranges.xml", Folder::ranges({"n0", "n1"}));
  FilesFixture s(f);
  s.wait_for_nodes(8);
  CHECK(s.router.map().size() == 2);
  f.write("ranges.xml", Folder::ranges({"n0", "n1", "n8"}));
  s.wait_for_rejections(1);
  CHECK(has(s.last_reason(), "holder 'n8' of range 2 is not in nodes.xml"));
  CHECK(s.router.map().size() == 2);
  f.write("nodes.xml", Folder::nodes(9));
  // n1 held the keys of range 2 before: a range that keeps none of its holders needs an operator's approval.
  s.wait_until([&] { return s.source.figures().held + s.source.figures().taken >= 2; });
}

TEST_CASE("unchanged content, and a change that is undone, make no new generation") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesFixture s(f);
  s.wait_for_nodes(8);
  auto number = s.source.generation_manager().number();
  auto scans = s.source.figures().scans;
  f.write("nodes.xml", Folder::nodes(8));
  s.wait_until([&] { return s.source.figures().scans > scans; });
  scans = s.source.figures().scans;
  f.write("nodes.xml", Folder::nodes(9));
  f.write("nodes.xml", Folder::nodes(8));
  s.wait_until([&] { return s.source.figures().scans > scans; });
  CHECK(s.source.generation_manager().number() == number);
}

TEST_CASE(
    "a removed directory leaves the active generation in use, and is watched again when it is created") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesFixture s(f);
  s.wait_for_nodes(8);
  fs::remove_all(f.path);
  auto scans = s.source.figures().scans;
  s.wait_until([&] { return s.source.figures().scans > scans; });
  CHECK(s.active_nodes() == 8);
  fs::create_directory(f.path);
  f.write("nodes.xml", Folder::nodes(9));
  s.wait_for_nodes(9);
}

TEST_CASE(
    "entity expansion, external entities, links out of the directory, large files and pipes are rejected") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesFixture s(f, 20000);
  s.wait_for_nodes(8);
  std::string body = Folder::nodes(9);
  f.write("nodes.xml", "<!DOCTYPE n [<!ENTITY a \"aaaaaaaaaa\"><!ENTITY b \"&a;&a;&a;&a;\">]>" + body);
  s.wait_for_rejections(1);
  CHECK(has(s.last_reason(), "a DOCTYPE is not allowed"));
  f.write("nodes.xml", "<!DOCTYPE n SYSTEM \"file:///etc/passwd\">" + body);
  s.wait_for_rejections(2);
  std::ofstream(f.root / "outside.xml") << body;
  fs::remove(f.path / "nodes.xml");
  fs::create_symlink("../outside.xml", f.path / "nodes.xml");
  s.wait_for_rejections(3);
  CHECK(has(s.last_reason(), "symbolic link"));
  fs::remove(f.path / "nodes.xml");
  f.write("nodes.xml", Folder::nodes(2000));
  s.wait_for_rejections(4);
  CHECK(has(s.last_reason(), "larger than 20000 bytes"));
  fs::remove(f.path / "nodes.xml");
  REQUIRE(mkfifo((f.path / "nodes.xml").c_str(), 0600) == 0);
  s.wait_for_rejections(5);
  CHECK(has(s.last_reason(), "is no file"));
  fs::remove(f.path / "nodes.xml");
  f.write("nodes.xml", body);
  s.wait_for_nodes(9);
}

TEST_CASE("a removed node is draining at once, and stays known to the router") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(8));
  FilesFixture s(f);
  s.wait_for_nodes(8);
  f.write("nodes.xml", Folder::nodes(7));
  s.wait_for_nodes(7);
  bool draining = false;
  for (const auto& m : s.source.generation_manager().members(s.loop.now()))
    if (m.entry.server == "n7") draining = m.entry.state == winchhall::ServerState::draining;
  CHECK(draining);
  CHECK(s.router.known_servers() == 8);  // until it is removed, it may answer requests in flight
}

TEST_CASE(
    "continuous rewrites, a third of them truncated: only valid files are applied, and the last ones are "
    "active") {
  Folder f;
  f.write("nodes.xml", Folder::nodes(20));
  f.write("ranges.xml", Folder::ranges({"n0", "n1"}));
  FilesFixture s(f);
  s.wait_for_nodes(20);
  for (int i = 0; i < 300; ++i) {
    std::string text = Folder::nodes(20 + i % 3);
    if (i % 3 == 2) text.resize(text.size() * static_cast<std::size_t>(i % 7) / 8);
    if (i % 2)
      f.write("nodes.xml", text);
    else
      f.rename_over("nodes.xml", text);
    s.loop.run_once(1);
    s.router.run();
    std::size_t now = s.active_nodes();
    CHECK((now >= 20 && now <= 22));
    CHECK(s.router.known_servers() >= now);
  }
  f.rename_over("nodes.xml", Folder::nodes(23));
  s.wait_for_nodes(23);
}
