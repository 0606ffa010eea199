// HTTP message types of the server and its handlers.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>

namespace winchhall::cluster {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

// Sends the response to one request, at any later time; only the first response counts. If all copies are
// destroyed without a response, the connection is closed.
using HttpReplyCallback = std::function<void(HttpResponse)>;

// Handles one request. If it throws a std::exception, the server responds with status 500.
using HttpHandler = std::function<void(HttpRequest request, HttpReplyCallback reply)>;

// A response with a JSON body.
HttpResponse json_response(unsigned status, std::string body);

}  // namespace winchhall::cluster
