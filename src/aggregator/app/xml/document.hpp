// One XML text against one schema: every fault with its line, or the document. Nothing is loaded from
// anywhere, no entity can be declared, and texts are bounded by whoever read them.
#pragma once

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace winchhall::app::xml {

template <auto Free>
struct Freer {
  template <class T>
  void operator()(T* p) const {
    Free(p);
  }
};
using Doc = std::unique_ptr<xmlDoc, Freer<xmlFreeDoc>>;
using Schema = std::unique_ptr<xmlSchema, Freer<xmlSchemaFree>>;

using Report = std::function<void(long line, std::string what)>;

// Made once from the text that is built in; it may be used again and again.
Schema compile(std::string_view schema);

// Null where something was reported. Defaults of the schema stand in the document.
Doc read(std::string_view text, xmlSchema* schema, std::string_view name_space, const Report& report);

// Attributes of one element.
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
  double number(const char* name) const { return std::strtod(text(name).c_str(), nullptr); }
  unsigned long long whole(const char* name) const { return std::strtoull(text(name).c_str(), nullptr, 10); }
  long line() const { return xmlGetLineNo(node); }
};

inline std::string name_of(const xmlNode* node) { return reinterpret_cast<const char*>(node->name); }

// Each element below `parent`.
template <class F>
void each(xmlNode* parent, F f) {
  for (xmlNode* node = parent->children; node; node = node->next)
    if (node->type == XML_ELEMENT_NODE) f(node);
}

}  // namespace winchhall::app::xml
