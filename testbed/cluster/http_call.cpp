#include "testbed/cluster/http_call.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace winchhall::testbed::cluster {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

tcp::endpoint endpoint_of(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
  return {boost::asio::ip::make_address(address.substr(0, colon)), port};
}

http::request<http::string_body> request_of(const HttpCall& call) {
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request(http::string_to_verb(call.method), call.target, kHttp11);
  request.set(http::field::host, call.host.empty() ? call.address : call.host);
  request.set(http::field::connection, "close");
  if (!call.body.empty()) request.set(http::field::content_type, "application/json");
  for (const HttpHeader& header : call.headers) request.set(header.name, header.value);
  request.body() = call.body;
  request.prepare_payload();
  return request;
}

// The steps of one call, one after the other.
class Exchange {
 public:
  Exchange(boost::asio::io_context& loop, const HttpCall& call) : stream_(loop), request_(request_of(call)) {
    stream_.expires_after(call.timeout);
    stream_.async_connect(endpoint_of(call.address), [this](const beast::error_code& error) {
      if (!error) write();
    });
  }
  HttpCallResponse answer() const { return answer_; }

 private:
  void write() {
    http::async_write(stream_, request_, [this](const beast::error_code& error, std::size_t) {
      if (!error) read();
    });
  }
  void read() {
    http::async_read(stream_, buffer_, response_, [this](const beast::error_code& error, std::size_t) {
      if (!error) answer_ = {response_.result_int(), response_.body()};
    });
  }

  beast::tcp_stream stream_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
  beast::flat_buffer buffer_;
  HttpCallResponse answer_;
};

}  // namespace

HttpCallResponse send_http_call(const HttpCall& call) {
  boost::asio::io_context loop;
  Exchange exchange(loop, call);
  loop.run();
  return exchange.answer();
}

}  // namespace winchhall::testbed::cluster
