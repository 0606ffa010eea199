// Decodes client requests to queries and encodes their results as HTTP responses. No I/O.
#pragma once

#include <string>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/http/http.hpp"

namespace winchhall::http {

// What requests are validated against.
struct DecodeContext {
  const winchhall::Settings& settings;  // classes and tenants; not owned
  int shards = 0;                       // number of shards; 0: not configured, ids are not checked
  bool spans = false;                   // a range directory is configured: queries may ask for account spans
};

// `query` is valid if the status is 200; otherwise the request is rejected with `status` and `error`.
struct DecodedQuery {
  int status = 200;
  std::string error{};
  coordination::QuerySpec query{};
};

// `arrived`: when the request was received (ms), from which its timeout counts.
DecodedQuery decode_query(const HttpMessage& message, const DecodeContext& context,
                          coordination::Millis arrived);

// A complete HTTP response. `headers`: further header lines, each with its CRLF. `keep`: without "Connection:
// close".
std::string http_response(int status, const std::string& headers, const std::string& body, bool keep);
// Likewise with the JSON body {"error":"<why>"}.
std::string error_response(int status, const std::string& headers, const std::string& why, bool keep);
// The response with the result of a query, or with the error it ended with.
std::string query_response(const coordination::QueryResult& result, bool keep);

}  // namespace winchhall::http
