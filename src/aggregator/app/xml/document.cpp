#include "aggregator/app/xml/document.hpp"

namespace winchhall::app::xml {
namespace {

using ParserContext = std::unique_ptr<xmlParserCtxt, Freer<xmlFreeParserCtxt>>;
using SchemaContext = std::unique_ptr<xmlSchemaParserCtxt, Freer<xmlSchemaFreeParserCtxt>>;
using ValidContext = std::unique_ptr<xmlSchemaValidCtxt, Freer<xmlSchemaFreeValidCtxt>>;

constexpr int kReportedMost = 50;  // of one text; more help nobody

struct Listing {
  const Report& report;
  std::string noise;  // the schema's namespace, which stands in every message and tells an operator nothing
  int count = 0;
};

void note(void* to, xmlErrorPtr error) {
  auto* list = static_cast<Listing*>(to);
  if (++list->count > kReportedMost) return;
  std::string what = error->message ? error->message : "a fault";
  while (!what.empty() && (what.back() == '\n' || what.back() == ' ')) what.pop_back();
  for (std::size_t at; (at = what.find(list->noise)) != std::string::npos;)
    what.erase(at, list->noise.size());
  list->report(error->line, what);
}

void note_parse(void* context, xmlErrorPtr error) {
  note(static_cast<xmlParserCtxt*>(context)->_private, error);
}

}  // namespace

Schema compile(std::string_view schema) {
  SchemaContext context(xmlSchemaNewMemParserCtxt(schema.data(), static_cast<int>(schema.size())));
  return Schema(context ? xmlSchemaParse(context.get()) : nullptr);
}

Doc read(std::string_view text, xmlSchema* schema, std::string_view name_space, const Report& report) {
  Listing list{report, "{" + std::string(name_space) + "}"};
  ParserContext parser(xmlNewParserCtxt());
  if (!parser || !schema) {
    report(0, "the schema that is built in cannot be used");
    return nullptr;
  }
  parser->sax->serror = note_parse;
  parser->_private = &list;
  Doc doc(xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()), "", nullptr,
                            XML_PARSE_NONET | XML_PARSE_BIG_LINES | XML_PARSE_COMPACT));
  if (!doc) {
    if (list.count == 0) report(0, "is no XML");
    return nullptr;
  }
  if (list.count > 0) return nullptr;
  // Guards against entities that expand without end or refer outside: none can be declared.
  if (doc->intSubset) {
    report(0, "a DOCTYPE is not allowed here");
    return nullptr;
  }
  ValidContext valid(xmlSchemaNewValidCtxt(schema));
  if (!valid) {
    report(0, "the schema that is built in cannot be used");
    return nullptr;
  }
  xmlSchemaSetValidStructuredErrors(valid.get(), note, &list);
  xmlSchemaSetValidOptions(valid.get(), XML_SCHEMA_VAL_VC_I_CREATE);  // defaults of the schema
  if (xmlSchemaValidateDoc(valid.get(), doc.get()) == 0) return doc;
  if (list.count == 0) report(0, "does not fit the schema");
  return nullptr;
}

}  // namespace winchhall::app::xml
