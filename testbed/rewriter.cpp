#include "testbed/rewriter.hpp"

#include <algorithm>
#include <fstream>

namespace winchhall::testbed {
namespace fs = std::filesystem;

namespace {
constexpr const char* kTwists[] = {"half",       "noise",     "no nodes", "address twice",  "weight nan",
                                   "weight far", "no holder", "gap",      "unknown holder", "doctype"};
constexpr std::uint64_t kFoldersKept = 3;

void put(const fs::path& path, const std::string& text) { std::ofstream(path, std::ios::binary) << text; }
}  // namespace

Rewriter::Rewriter(fs::path root, std::uint64_t seed, std::vector<std::string> addresses)
    : root_(std::move(root)), random_(seed, 21), addresses_(std::move(addresses)) {}

std::string Rewriter::nodes(const std::set<std::size_t>& dropped, const std::string& twist) const {
  std::string all = "<nodes xmlns=\"urn:winchhall:files:1\">\n";
  for (std::size_t i = 0; i < addresses_.size(); ++i)
    if (!dropped.count(i))
      all += "<node id=\"" + World::node_name(i) + "\" address=\"" +
             addresses_[twist == "address twice" ? 0 : i] + "\"/>\n";
  return all + "</nodes>\n";
}

std::string Rewriter::ranges(const World& world, const std::string& twist) const {
  std::string all = "<ranges xmlns=\"urn:winchhall:files:1\">\n";
  auto list = world.map().all();
  for (std::size_t i = 0; i < list.size(); ++i) {
    const auto& r = list[i];
    bool bent = i == list.size() / 2;
    all += "<range id=\"" + std::to_string(r.id) + "\" from=\"" +
           std::to_string(r.span.from + (bent && twist == "gap")) + "\" to=\"" + std::to_string(r.span.to) +
           "\" weight=\"" + std::to_string(std::max(r.weight, 1e-6)) + "\">";
    for (const auto& h : *r.holders) {
      std::string role = bent && twist == "no holder" ? "copying" : ranges::name_of(h.role);
      std::string server = bent && twist == "unknown holder" ? "node-999" : h.server;
      all += "<holder server=\"" + server + "\" role=\"" + role + "\"/>";
    }
    all += "</range>\n";
  }
  return all + "</ranges>\n";
}

std::string Rewriter::weights(const std::set<std::size_t>& dropped, const std::string& twist) {
  std::string all = "<weights xmlns=\"urn:winchhall:files:1\">\n";
  bool first = true;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    if (dropped.count(i)) continue;
    std::string value = std::to_string(0.5 + random_.unit());
    if (first && twist == "weight nan") value = "NaN";
    if (first && twist == "weight far") value = "5000";
    first = false;
    all += "<weight node=\"" + World::node_name(i) + "\" value=\"" + value + "\"/>\n";
  }
  return all + "</weights>\n";
}

void Rewriter::swap_in(const std::map<std::string, std::string>& files) {
  fs::path made = root_ / ("set-" + std::to_string(++number_));
  fs::create_directories(made);
  for (const auto& [name, text] : files) put(made / name, text);
  fs::path link = root_ / "link";
  std::error_code ignored;
  fs::remove(link, ignored);
  fs::create_symlink(made.filename(), link);
  fs::rename(link, root_ / "current");
  if (number_ > kFoldersKept)
    fs::remove_all(root_ / ("set-" + std::to_string(number_ - kFoldersKept)), ignored);
}

void Rewriter::sound(const World& world, const std::set<std::size_t>& dropped) {
  dropped_ = dropped;
  swap_in({{"nodes.xml", nodes(dropped, "")},
           {"ranges.xml", ranges(world, "")},
           {"weights.xml", weights(dropped, "")}});
  ++counts_.sound;
  last_was_spoilt_ = false;
}

void Rewriter::spoilt(const World& world) {
  std::string twist = kTwists[random_.below(std::size(kTwists))];
  ++counts_.spoilt;
  last_was_spoilt_ = true;
  ++counts_.by_kind[twist];
  std::map<std::string, std::string> files{{"nodes.xml", nodes(dropped_, twist)},
                                           {"ranges.xml", ranges(world, twist)},
                                           {"weights.xml", weights(dropped_, twist)}};
  std::string& text = files[random_.chance(0.5) ? "nodes.xml" : "ranges.xml"];
  if (twist == "half") text.resize(text.size() * (1 + random_.below(7)) / 8);
  if (twist == "noise") text[text.size() / 2] = static_cast<char>(1 + random_.below(8));
  if (twist == "doctype") text = "<!DOCTYPE x [<!ENTITY e \"eeee\">]>" + text;
  if (twist == "no nodes") files["nodes.xml"] = "<nodes xmlns=\"urn:winchhall:files:1\"/>";
  // In the place of what is there, file by file, as a careless tool would; or swapped in as a careful one.
  if (random_.chance(0.5)) return swap_in(files);
  std::error_code ignored;
  for (const auto& [name, bytes] : files)
    if (fs::exists(fs::path(folder()), ignored)) put(fs::path(folder()) / name, bytes);
}

}  // namespace winchhall::testbed
