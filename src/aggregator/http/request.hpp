// A client's request and its answer, between HTTP and plain values.
#pragma once

#include <string>

#include "aggregator/coordination/request_router.hpp"
#include "aggregator/http/http.hpp"

namespace winchhall::http {

struct DecodeContext {  // what a request may name, from the settings
  const winchhall::Settings& settings;
  int shards = 0;      // 0: not stated
  bool spans = false;  // a directory of ranges is followed: queries may name accounts
};

struct Decoded {
  int status = 200;  // else what the request is answered with
  std::string wrong{};
  coordination::QuerySpec query{};
};

Decoded decode_query(const HttpMessage& message, const DecodeContext& names, coordination::Millis arrived);

std::string http_answer(int status, const std::string& headers, const std::string& body, bool keep);
// The same with a body that says what was wrong: {"error":"..."}.
std::string error_answer(int status, const std::string& headers, const std::string& why, bool keep);
std::string query_response(const coordination::QueryResult& result, bool keep);

}  // namespace winchhall::http
