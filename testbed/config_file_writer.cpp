#include "testbed/config_file_writer.hpp"

#include <algorithm>
#include <fstream>

namespace winchhall::testbed {
namespace fs = std::filesystem;

namespace {
constexpr const char* kDefects[] = {"half",       "noise",     "no nodes", "address twice",  "weight nan",
                                    "weight far", "no holder", "gap",      "unknown holder", "doctype"};
constexpr std::uint64_t kKeptVersions = 3;

void write_file(const fs::path& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}
}  // namespace

ConfigFileWriter::ConfigFileWriter(fs::path root, std::uint64_t seed, std::vector<std::string> addresses)
    : root_(std::move(root)), random_(seed, 21), addresses_(std::move(addresses)) {}

std::string ConfigFileWriter::nodes(const std::set<std::size_t>& dropped, const std::string& defect) const {
  std::string all = "<nodes xmlns=\"urn:winchhall:files:1\">\n";
  for (std::size_t i = 0; i < addresses_.size(); ++i)
    if (!dropped.count(i))
      all += "<node id=\"" + SimulatedDeployment::node_name(i) + "\" address=\"" +
             addresses_[defect == "address twice" ? 0 : i] + "\"/>\n";
  return all + "</nodes>\n";
}

std::string ConfigFileWriter::ranges(const SimulatedDeployment& deployment, const std::string& defect) const {
  std::string all = "<ranges xmlns=\"urn:winchhall:files:1\">\n";
  auto list = deployment.map().all();
  for (std::size_t i = 0; i < list.size(); ++i) {
    const auto& r = list[i];
    bool defective = i == list.size() / 2;
    all += "<range id=\"" + std::to_string(r.id) + "\" from=\"" +
           std::to_string(r.span.from + (defective && defect == "gap")) + "\" to=\"" +
           std::to_string(r.span.to) + "\" weight=\"" + std::to_string(std::max(r.weight, 1e-6)) + "\">";
    for (const auto& h : *r.holders) {
      std::string role = defective && defect == "no holder" ? "copying" : ranges::name_of(h.role);
      std::string server = defective && defect == "unknown holder" ? "node-999" : h.server;
      all += "<holder server=\"" + server + "\" role=\"" + role + "\"/>";
    }
    all += "</range>\n";
  }
  return all + "</ranges>\n";
}

std::string ConfigFileWriter::weights(const std::set<std::size_t>& dropped, const std::string& defect) {
  std::string all = "<weights xmlns=\"urn:winchhall:files:1\">\n";
  bool first = true;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    if (dropped.count(i)) continue;
    std::string value = std::to_string(0.5 + random_.unit());
    if (first && defect == "weight nan") value = "NaN";
    if (first && defect == "weight far") value = "5000";
    first = false;
    all += "<weight node=\"" + SimulatedDeployment::node_name(i) + "\" value=\"" + value + "\"/>\n";
  }
  return all + "</weights>\n";
}

void ConfigFileWriter::publish(const std::map<std::string, std::string>& files) {
  fs::path version_folder = root_ / ("set-" + std::to_string(++version_));
  fs::create_directories(version_folder);
  for (const auto& [name, text] : files) write_file(version_folder / name, text);
  fs::path link = root_ / "link";
  std::error_code ignored;
  fs::remove(link, ignored);
  fs::create_symlink(version_folder.filename(), link);
  fs::rename(link, root_ / "current");
  if (version_ > kKeptVersions)
    fs::remove_all(root_ / ("set-" + std::to_string(version_ - kKeptVersions)), ignored);
}

void ConfigFileWriter::write_valid(const SimulatedDeployment& deployment,
                                   const std::set<std::size_t>& dropped) {
  dropped_ = dropped;
  publish({{"nodes.xml", nodes(dropped, "")},
           {"ranges.xml", ranges(deployment, "")},
           {"weights.xml", weights(dropped, "")}});
  ++counts_.valid;
  last_was_invalid_ = false;
}

void ConfigFileWriter::write_invalid(const SimulatedDeployment& deployment) {
  std::string defect = kDefects[random_.below(std::size(kDefects))];
  ++counts_.invalid;
  last_was_invalid_ = true;
  ++counts_.by_defect[defect];
  std::map<std::string, std::string> files{{"nodes.xml", nodes(dropped_, defect)},
                                           {"ranges.xml", ranges(deployment, defect)},
                                           {"weights.xml", weights(dropped_, defect)}};
  std::string& text = files[random_.chance(0.5) ? "nodes.xml" : "ranges.xml"];
  if (defect == "half") text.resize(text.size() * (1 + random_.below(7)) / 8);
  if (defect == "noise") text[text.size() / 2] = static_cast<char>(1 + random_.below(8));
  if (defect == "doctype") text = "<!DOCTYPE x [<!ENTITY e \"eeee\">]>" + text;
  if (defect == "no nodes") files["nodes.xml"] = "<nodes xmlns=\"urn:winchhall:files:1\"/>";
  // Half of the invalid sets are published at once, the others overwrite the current files one by one, as a
  // tool without atomic replacement does.
  if (random_.chance(0.5)) return publish(files);
  std::error_code ignored;
  for (const auto& [name, bytes] : files)
    if (fs::exists(fs::path(folder()), ignored)) write_file(fs::path(folder()) / name, bytes);
}

}  // namespace winchhall::testbed
