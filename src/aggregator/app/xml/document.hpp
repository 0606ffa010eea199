// Parses an XML text and validates it against a schema. Nothing is loaded from files or the network, and no
// entity can be declared. The caller limits the size of the text.
#pragma once

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace winchhall::app::xml {

// Deleter of libxml2 objects for std::unique_ptr.
template <auto Free>
struct Deleter {
  template <class T>
  void operator()(T* p) const {
    Free(p);
  }
};
using Doc = std::unique_ptr<xmlDoc, Deleter<xmlFreeDoc>>;
using Schema = std::unique_ptr<xmlSchema, Deleter<xmlSchemaFree>>;

// Receives each fault with its line; 0: the text as a whole.
using FaultCallback = std::function<void(long line, std::string what)>;

// Compiles a schema; null if it is invalid. The result may be used for any number of documents.
Schema compile(std::string_view schema);

// Parses and validates `text`. Null if a fault was reported; otherwise the document, with the schema's
// default values filled in. `name_space` is removed from the messages.
Doc read(std::string_view text, xmlSchema* schema, std::string_view name_space, const FaultCallback& report);

// Attributes of one element, which must outlive it. Numbers are not checked: the schema has done that.
struct Attributes {
  xmlNode* node;
  std::string text(const char* name) const {
    xmlChar* value = xmlGetNoNsProp(node, reinterpret_cast<const xmlChar*>(name));
    std::string s = value ? reinterpret_cast<const char*>(value) : "";
    xmlFree(value);
    return s;
  }
  bool boolean(const char* name) const {
    std::string v = text(name);
    return v == "true" || v == "1";
  }
  double number(const char* name) const { return std::strtod(text(name).c_str(), nullptr); }
  unsigned long long unsigned_integer(const char* name) const {
    return std::strtoull(text(name).c_str(), nullptr, 10);
  }
  long line() const { return xmlGetLineNo(node); }
};

inline std::string name_of(const xmlNode* node) { return reinterpret_cast<const char*>(node->name); }

// Calls `f` with each child element of `parent`.
template <class F>
void for_each_child(xmlNode* parent, F f) {
  for (xmlNode* node = parent->children; node; node = node->next)
    if (node->type == XML_ELEMENT_NODE) f(node);
}

}  // namespace winchhall::app::xml
