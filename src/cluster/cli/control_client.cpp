#include "cluster/cli/control_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <string_view>
#include <thread>

namespace winchhall::cluster {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kMostRedirects = 2;
constexpr std::uint64_t kMostAnswerBytes = 64ull << 20;
constexpr const char* kBaseVersionHeader = "X-Winchhall-Base-Version";
constexpr std::string_view kScheme = "http://";

struct Exchanged {
  ControlResponse answer;
  std::string location;  // of a redirect
};

// One request on a connection of its own.
class Exchange {
 public:
  Exchange(const Address& node, const ControlRequest& call, Millis timeout) : stream_(loop_) {
    stream_.expires_after(timeout);
    request_.method(call.method);
    request_.target(call.target);
    request_.version(11);
    request_.set(http::field::host, node);
    request_.set(http::field::content_type, "application/json");
    if (call.base_version) request_.set(kBaseVersionHeader, std::to_string(*call.base_version));
    request_.body() = call.body;
    request_.keep_alive(false);
    request_.prepare_payload();
    parser_.body_limit(kMostAnswerBytes);
  }

  leaf::result<Exchanged> run(const tcp::endpoint& endpoint) {
    stream_.async_connect(endpoint, [this](const error_code& error) { connected(error); });
    loop_.run();
    if (error_) return leaf::new_error(ControlUnavailable{error_.message()});
    const auto& response = parser_.get();
    return Exchanged{{response.result_int(), response.body()}, std::string(response[http::field::location])};
  }

 private:
  void connected(const error_code& error) {
    error_ = error;
    if (error) return;
    http::async_write(stream_, request_,
                      [this](const error_code& failure, std::size_t) { written(failure); });
  }

  void written(const error_code& error) {
    error_ = error;
    if (error) return;
    http::async_read(stream_, buffer_, parser_,
                     [this](const error_code& failure, std::size_t) { error_ = failure; });
  }

  asio::io_context loop_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  error_code error_;
};

leaf::result<tcp::endpoint> parse_endpoint(const Address& node) {
  const std::size_t colon = node.rfind(':');
  const char* end = node.data() + node.size();
  std::uint16_t port = 0;
  const bool has_port =
      colon != Address::npos && std::from_chars(node.data() + colon + 1, end, port).ptr == end && port > 0;
  error_code error;
  const auto ip = asio::ip::make_address(node.substr(0, has_port ? colon : 0), error);
  if (has_port && !error) return tcp::endpoint(ip, port);
  return leaf::new_error(InvalidInput{"command line", "control", node, "ip:port"});
}

bool is_unclear(unsigned status) { return status >= 500 || status == 408 || status == 429; }

}  // namespace

leaf::result<ControlResponse> ControlClient::try_node(const Address& node, const ControlRequest& call) const {
  Address asked = node;
  ControlRequest asking = call;
  for (unsigned redirects = 0;; ++redirects) {
    BOOST_LEAF_AUTO(endpoint, parse_endpoint(asked));
    BOOST_LEAF_AUTO(exchanged, Exchange(asked, asking, terms_.timeout).run(endpoint));
    const unsigned status = exchanged.answer.status;
    if (is_unclear(status)) {
      return leaf::new_error(ControlUnavailable{asked + " answered " + std::to_string(status)});
    }
    if (status != 307) return std::move(exchanged.answer);
    const std::string& location = exchanged.location;
    const std::size_t path = location.find('/', kScheme.size());
    const bool readable = location.rfind(kScheme, 0) == 0 && path != std::string::npos;
    if (!readable || redirects == kMostRedirects) {
      return leaf::new_error(ControlUnavailable{asked + " redirects to '" + location + "'"});
    }
    asked = location.substr(kScheme.size(), path - kScheme.size());
    asking.target = location.substr(path);
  }
}

leaf::result<ControlResponse> ControlClient::call(const ControlRequest& call) {
  std::string last_failure = "no control node is named";
  Millis pause = terms_.first_pause;
  for (unsigned round = 0; round < terms_.rounds && !terms_.nodes.empty(); ++round) {
    if (round > 0) {
      std::this_thread::sleep_for(pause);
      pause *= 2;
    }
    for (std::size_t tried = 0; tried < terms_.nodes.size(); ++tried) {
      const Address& node = terms_.nodes[next_ % terms_.nodes.size()];
      std::optional<ControlResponse> answer;
      BOOST_LEAF_CHECK(leaf::try_handle_some(
          [&]() -> leaf::result<void> {
            BOOST_LEAF_ASSIGN(answer, try_node(node, call));
            return {};
          },
          [&](const ControlUnavailable& failure) -> leaf::result<void> {
            last_failure = node + ": " + failure.detail;
            return {};
          }));
      if (answer) return std::move(*answer);
      ++next_;
    }
  }
  return leaf::new_error(ControlUnavailable{last_failure});
}

}  // namespace winchhall::cluster
