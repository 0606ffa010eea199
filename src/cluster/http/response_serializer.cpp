#include "cluster/http/response_serializer.hpp"

#include <string_view>

namespace winchhall::cluster {

namespace http = boost::beast::http;

namespace {

void append(std::string& text, boost::beast::string_view part) { text.append(part.data(), part.size()); }

void append_status_line(const HttpResponse& response, std::string& text) {
  text += "HTTP/1.1 ";
  text += std::to_string(response.result_int());
  text += ' ';
  append(text, http::obsolete_reason(response.result()));
  text += "\r\n";
}

void append_fields(const HttpResponse& response, std::string& text) {
  for (const auto& field : response.base()) {
    if (field.name() == http::field::connection || field.name() == http::field::content_length) continue;
    append(text, field.name_string());
    text += ": ";
    append(text, field.value());
    text += "\r\n";
  }
}

void append_connection(const ResponseFraming& form, std::string& text) {
  if (!form.keep_alive) {
    text += "Connection: close\r\n";
  } else if (form.version < 11) {
    text += "Connection: keep-alive\r\n";
  }
}

}  // namespace

void serialize_response(const HttpResponse& response, const ResponseFraming& form, std::string& text) {
  text.clear();
  append_status_line(response, text);
  append_fields(response, text);
  append_connection(form, text);
  text += "Content-Length: ";
  text += std::to_string(response.body().size());
  text += "\r\n\r\n";
  if (!form.omit_body) text += response.body();
}

}  // namespace winchhall::cluster
