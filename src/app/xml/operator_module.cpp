// The module that reads operator files: libxml2, and the schema built in.
#include <libxml/parser.h>
#include <libxml/xmlschemas.h>
#include <sys/stat.h>

#include <fstream>
#include <memory>
#include <sstream>

#include "app/operator_file.hpp"
#include "net/address.hpp"
#include "operator_schema.hpp"

namespace winchhall::app {
namespace {

constexpr long long kFileMost = 1 << 20;  // bytes: a file of settings has a few thousand

template <auto Free>
struct Freer {
  template <class T>
  void operator()(T* p) const {
    Free(p);
  }
};
using Doc = std::unique_ptr<xmlDoc, Freer<xmlFreeDoc>>;
using ParserContext = std::unique_ptr<xmlParserCtxt, Freer<xmlFreeParserCtxt>>;
using SchemaContext = std::unique_ptr<xmlSchemaParserCtxt, Freer<xmlSchemaFreeParserCtxt>>;
using Schema = std::unique_ptr<xmlSchema, Freer<xmlSchemaFree>>;
using ValidContext = std::unique_ptr<xmlSchemaValidCtxt, Freer<xmlSchemaFreeValidCtxt>>;

struct Listing {
  const std::string& path;
  std::vector<Fault>& faults;
};

void note(void* to, xmlErrorPtr error) {
  auto* list = static_cast<Listing*>(to);
  std::string what = error->message ? error->message : "a fault";
  while (!what.empty() && (what.back() == '\n' || what.back() == ' ')) what.pop_back();
  // The schema's namespace, in every message, tells an operator nothing.
  const std::string noise = "{urn:winchhall:operator:1}";
  for (std::size_t at; (at = what.find(noise)) != std::string::npos;) what.erase(at, noise.size());
  list->faults.push_back({list->path, error->line, what});
}

// Attributes with the schema's defaults filled in, as validation left them.
struct Attributes {
  xmlNode* node;
  std::string text(const char* name) const {
    xmlChar* value = xmlGetNoNsProp(node, reinterpret_cast<const xmlChar*>(name));
    std::string s = value ? reinterpret_cast<const char*>(value) : "";
    xmlFree(value);
    return s;
  }
  bool yes(const char* name) const {
    std::string v = text(name);
    return v == "true" || v == "1";
  }
  double number(const char* name) const { return std::stod(text(name)); }
};

void read(xmlNode* root, OperatorSettings& s, Listing list) {
  auto address = [&](const Attributes& a, const char* name) {
    std::string v = a.text(name);
    // The pattern lets 999.1.1.1:70000 through; what can't be bound or reached is told here as well.
    if (!v.empty() && !net::parse_address(v))
      list.faults.push_back({list.path, xmlGetLineNo(a.node),
                             std::string("'") + name + "' is '" + v +
                                 "', wanted is an IPv4 address and port, "
                                 "as 127.0.0.1:8815"});
    return v;
  };
  for (xmlNode* node = root->children; node; node = node->next) {
    if (node->type != XML_ELEMENT_NODE) continue;
    Attributes a{node};
    std::string name = reinterpret_cast<const char*>(node->name);
    if (name == "flight") {
      s.flight = {a.yes("enabled"), address(a, "listen"), a.text("nodes") == "flight"};
      if (s.flight.enabled && s.flight.listen.empty())
        list.faults.push_back(
            {list.path, xmlGetLineNo(node),
             "'listen' is missing, wanted is the address for Flight clients, or enabled=\"false\""});
    }
    if (name == "ranges")
      s.ranges = {a.yes("enabled"), address(a, "directory"), static_cast<std::size_t>(a.number("most")),
                  a.number("connect-timeout-ms")};
  }
}

std::string read_file(const std::string& path, std::string& fault) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0 || !S_ISREG(info.st_mode)) {
    fault = "cannot be read: no such file";
    return "";
  }
  if (info.st_size > kFileMost) {
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
  Listing list{path, faults};
  ParserContext parser(xmlNewParserCtxt());
  parser->sax->serror = [](void* context, xmlErrorPtr error) {
    note(static_cast<xmlParserCtxt*>(context)->_private, error);
  };
  parser->_private = &list;
  // Nothing is loaded from anywhere, and no entity is put in place of its name.
  Doc doc(xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()), path.c_str(), nullptr,
                            XML_PARSE_NONET));
  if (!doc) {
    if (faults.empty()) faults.push_back({path, 0, "is no XML"});
    return;
  }
  // Guards against entities that expand without end or refer outside: none can be declared.
  if (doc->intSubset) return faults.push_back({path, 0, "a DOCTYPE is not allowed here"});
  SchemaContext schema_context(xmlSchemaNewMemParserCtxt(kOperatorSchema, sizeof kOperatorSchema - 1));
  Schema schema(xmlSchemaParse(schema_context.get()));
  ValidContext valid(schema ? xmlSchemaNewValidCtxt(schema.get()) : nullptr);
  if (!valid) return faults.push_back({path, 0, "the schema that is built in cannot be used"});
  xmlSchemaSetValidStructuredErrors(valid.get(), note, &list);
  xmlSchemaSetValidOptions(valid.get(), XML_SCHEMA_VAL_VC_I_CREATE);  // defaults of the schema
  if (xmlSchemaValidateDoc(valid.get(), doc.get()) != 0) {
    if (faults.empty()) faults.push_back({path, 0, "does not fit the schema"});
    return;
  }
  read(xmlDocGetRootElement(doc.get()), settings, list);
}

}  // namespace winchhall::app
