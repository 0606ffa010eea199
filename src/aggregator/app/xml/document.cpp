#include "aggregator/app/xml/document.hpp"

namespace winchhall::app::xml {
namespace {

using ParserContext = std::unique_ptr<xmlParserCtxt, Deleter<xmlFreeParserCtxt>>;
using SchemaContext = std::unique_ptr<xmlSchemaParserCtxt, Deleter<xmlSchemaFreeParserCtxt>>;
using ValidContext = std::unique_ptr<xmlSchemaValidCtxt, Deleter<xmlSchemaFreeValidCtxt>>;

constexpr int kMaxReportedFaults = 50;  // of one text; a longer list is of no help

// Counts the faults of one text and passes them on.
struct FaultList {
  const FaultCallback& report;
  std::string namespace_prefix;  // the schema's, part of every message; it tells an operator nothing
  int count = 0;
};

void report_fault(void* to, xmlErrorPtr error) {
  auto* faults = static_cast<FaultList*>(to);
  if (++faults->count > kMaxReportedFaults) return;
  std::string what = error->message ? error->message : "a fault";
  while (!what.empty() && (what.back() == '\n' || what.back() == ' ')) what.pop_back();
  for (std::size_t at; (at = what.find(faults->namespace_prefix)) != std::string::npos;)
    what.erase(at, faults->namespace_prefix.size());
  faults->report(error->line, what);
}

void record_parse_errors(void* context, xmlErrorPtr error) {
  report_fault(static_cast<xmlParserCtxt*>(context)->_private, error);
}

}  // namespace

Schema compile(std::string_view schema) {
  SchemaContext context(xmlSchemaNewMemParserCtxt(schema.data(), static_cast<int>(schema.size())));
  return Schema(context ? xmlSchemaParse(context.get()) : nullptr);
}

Doc read(std::string_view text, xmlSchema* schema, std::string_view name_space, const FaultCallback& report) {
  FaultList faults{report, "{" + std::string(name_space) + "}"};
  ParserContext parser(xmlNewParserCtxt());
  if (!parser || !schema) {
    report(0, "the schema that is built in cannot be used");
    return nullptr;
  }
  parser->sax->serror = record_parse_errors;
  parser->_private = &faults;
  Doc doc(xmlCtxtReadMemory(parser.get(), text.data(), static_cast<int>(text.size()), "", nullptr,
                            XML_PARSE_NONET | XML_PARSE_BIG_LINES | XML_PARSE_COMPACT));
  if (!doc) {
    if (faults.count == 0) report(0, "is no XML");
    return nullptr;
  }
  if (faults.count > 0) return nullptr;
  // Without a DOCTYPE no entity can be declared, so none can expand without bound or refer to other files.
  if (doc->intSubset) {
    report(0, "a DOCTYPE is not allowed here");
    return nullptr;
  }
  ValidContext valid(xmlSchemaNewValidCtxt(schema));
  if (!valid) {
    report(0, "the schema that is built in cannot be used");
    return nullptr;
  }
  xmlSchemaSetValidStructuredErrors(valid.get(), report_fault, &faults);
  xmlSchemaSetValidOptions(valid.get(), XML_SCHEMA_VAL_VC_I_CREATE);  // adds the schema's default values
  if (xmlSchemaValidateDoc(valid.get(), doc.get()) == 0) return doc;
  if (faults.count == 0) report(0, "does not fit the schema");
  return nullptr;
}

}  // namespace winchhall::app::xml
