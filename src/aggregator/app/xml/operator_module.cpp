// The module that parses XML: operator files and watched configuration files, with libxml2 and the built-in
// schemas.
#include <sys/stat.h>

#include <fstream>
#include <sstream>

#include "aggregator/app/operator_file.hpp"
#include "aggregator/app/xml/document.hpp"
#include "aggregator/event_loop/address.hpp"
#include "files_schema.hpp"
#include "operator_schema.hpp"

namespace winchhall::app {
namespace {

constexpr long long kMaxFileBytes = 1 << 20;  // a file of settings has a few thousand bytes

using xml::Attributes;

// Faults of one file.
struct FaultList {
  const std::string& path;
  std::vector<Fault>& faults;
};

void read_settings(xmlNode* root, OperatorSettings& s, FaultList fault_list) {
  auto address = [&](const Attributes& a, const char* name) {
    std::string v = a.text(name);
    // The schema's pattern accepts 999.1.1.1:70000, so addresses that can't be valid are reported here.
    if (!v.empty() && !event_loop::parse_address(v))
      fault_list.faults.push_back({fault_list.path, a.line(),
                                   std::string("'") + name + "' is '" + v +
                                       "', wanted is an IPv4 address and port, "
                                       "as 127.0.0.1:8815"});
    return v;
  };
  xml::for_each_child(root, [&](xmlNode* node) {
    Attributes a{node};
    std::string name = xml::name_of(node);
    if (name == "flight") {
      s.flight = {a.boolean("enabled"), address(a, "listen"), a.text("nodes") == "flight"};
      if (s.flight.enabled && s.flight.listen.empty())
        fault_list.faults.push_back({fault_list.path, a.line(),
                                     "'listen' is missing, wanted is the address for Flight clients, or "
                                     "enabled=\"false\""});
    }
    if (name == "ranges")
      s.ranges = {a.boolean("enabled"), address(a, "directory"),
                  static_cast<std::size_t>(a.unsigned_integer("most")), a.number("connect-timeout-ms")};
    if (name == "files") {
      s.files.enabled = a.boolean("enabled");
      s.files.folder = a.text("folder");
      s.files.store = a.text("store");
      s.files.max_removed_share = a.number("drop-share-percent") / 100;
      s.files.drain_time = a.number("drain-ms");
      s.files.max_file_bytes = static_cast<std::size_t>(a.unsigned_integer("most-bytes"));
      s.files.cell_count = static_cast<long long>(a.unsigned_integer("cells"));
      std::string zones = a.text("zones");
      for (std::size_t at = 0; at < zones.size();) {
        std::size_t end = std::min(zones.find(' ', at), zones.size());
        if (end > at) s.files.zones.push_back(zones.substr(at, end - at));
        at = end + 1;
      }
      if (s.files.enabled && s.files.folder.empty())
        fault_list.faults.push_back(
            {fault_list.path, a.line(), "'folder' is missing, wanted is the folder of the files"});
    }
  });
  // Two sources of the range map would overwrite each other's changes.
  if (s.files.enabled && s.ranges.enabled)
    fault_list.faults.push_back({fault_list.path, 0,
                                 "both <files> and <ranges> are enabled: the map of ranges comes from a "
                                 "folder or from a directory, wanted is one of them"});
}

std::string read_file(const std::string& path, std::string& fault) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0 || !S_ISREG(info.st_mode)) {
    fault = "cannot be read: no such file";
    return "";
  }
  if (info.st_size > kMaxFileBytes) {
    fault = "is larger than 1 MiB";
    return "";
  }
  std::ifstream file(path, std::ios::binary);
  std::ostringstream all;
  all << file.rdbuf();
  if (!file) fault = "cannot be read";
  return all.str();
}

}  // namespace

extern "C" __attribute__((visibility("default"))) void winchhall_read_operator_file(
    const std::string& path, OperatorSettings& settings, std::vector<Fault>& faults) {
  std::string fault;
  std::string text = read_file(path, fault);
  if (!fault.empty()) return faults.push_back({path, 0, fault});
  static const xml::Schema schema =
      xml::compile(std::string_view(kOperatorSchema, sizeof kOperatorSchema - 1));
  xml::Doc doc = xml::read(text, schema.get(), "urn:winchhall:operator:1", [&](long line, std::string what) {
    faults.push_back({path, line, std::move(what)});
  });
  if (doc) read_settings(xmlDocGetRootElement(doc.get()), settings, {path, faults});
}

// Parses the watched files. The schema doesn't say which root element each file must have, so that is checked
// here.
extern "C" __attribute__((visibility("default"))) void winchhall_read_set(
    const dynamic_config::Bytes& bytes, dynamic_config::Rows& rows,
    std::vector<dynamic_config::Fault>& faults) {
  using namespace dynamic_config;
  static const xml::Schema schema = xml::compile(std::string_view(kFilesSchema, sizeof kFilesSchema - 1));
  if (!bytes.count(Kind::nodes)) faults.push_back({Kind::nodes, 0, "is not there"});
  for (const auto& [kind, text] : bytes) {
    Kind of = kind;
    xml::Doc doc = xml::read(text, schema.get(), "urn:winchhall:files:1", [&](long line, std::string what) {
      faults.push_back({of, line, std::move(what)});
    });
    if (!doc) continue;
    xmlNode* root = xmlDocGetRootElement(doc.get());
    std::string expected = file_name(kind);
    expected.resize(expected.size() - 4);
    if (xml::name_of(root) != expected) {
      faults.push_back(
          {kind, xmlGetLineNo(root), "element '" + xml::name_of(root) + "', wanted is '" + expected + "'"});
      continue;
    }
    rows.revisions[kind] = Attributes{root}.unsigned_integer("revision");
    xml::for_each_child(root, [&](xmlNode* node) {
      Attributes a{node};
      if (of == Kind::nodes) {
        std::string address = a.text("address");
        if (!event_loop::parse_address(address))
          faults.push_back({of, a.line(), "address '" + address + "', wanted is an IPv4 address and port"});
        rows.nodes.push_back({a.text("id"), address, a.text("zone"),
                              static_cast<long long>(a.unsigned_integer("cell")),
                              a.text("state") == "draining", a.line()});
      } else if (of == Kind::weights) {
        rows.weights.push_back({a.text("node"), a.number("value"), a.line()});
      } else if (of == Kind::tenants) {
        rows.tenants.push_back({a.text("name"), a.number("quota-per-s"), a.line()});
      } else {
        RangeRow row{a.unsigned_integer("id"),
                     {a.unsigned_integer("from"), a.unsigned_integer("to")},
                     a.number("weight"),
                     {},
                     a.line()};
        xml::for_each_child(node, [&](xmlNode* child) {
          Attributes h{child};
          std::string role = h.text("role");
          row.holders.push_back({h.text("server"), role == "copying"   ? ranges::Role::copying
                                                   : role == "leaving" ? ranges::Role::leaving
                                                                       : ranges::Role::serving});
        });
        rows.ranges.push_back(std::move(row));
      }
    });
  }
}

}  // namespace winchhall::app
