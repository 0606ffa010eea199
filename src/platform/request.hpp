// A client's request and its answer, between HTTP and plain values.
#pragma once

#include <string>

#include "core/exchange.hpp"
#include "platform/http.hpp"

namespace winchhall::platform {

struct ClientNames {  // what a request may name, from the settings
  const pewterrill::Settings& settings;
  int shards = 0;  // 0: not stated
};

// What every front holds a query against, whatever wire it came on: shards that exist and come once, weights
// that are a share each and sum to 1, hints that are figures. Empty if it is sound, else what is wrong.
std::string unsound(const core::QuerySpec& query, int shards);
bool fit_name(const std::string& id);  // an id that can go in a line of a leaf's frame

struct Decoded {
  int status = 200;  // else what the request is answered with
  std::string wrong{};
  core::QuerySpec query{};
};

Decoded decode_query(const HttpMessage& message, const ClientNames& names, core::Millis arrived);

std::string http_answer(int status, const std::string& headers, const std::string& body, bool keep);
std::string verdict_answer(const core::Verdict& verdict, bool keep);

}  // namespace winchhall::platform
