// Calls between processes over NNG on loopback: answers, time-outs, late answers, peers that start later.
// The library wants its main header first.
#include <nng/nng.h>
//
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "cluster/rpc/rpc_client.hpp"
#include "cluster/rpc/rpc_server.hpp"

using namespace winchhall::cluster;

namespace {

constexpr Millis kPatience{5000};

// One event loop with a dialer; `run_until` drives it without sleeping in the test itself.
struct Caller {
  boost::asio::io_context loop{1};
  AsioRuntime runtime{loop};
  RpcClient dialer{loop, runtime};

  Caller() { runtime.use(dialer); }

  bool run_until(const std::function<bool()>& reached) {
    const TimePoint limit = runtime.now() + kPatience;
    while (!reached() && runtime.now() < limit) loop.run_one_for(Millis(100));
    return reached();
  }
};

wire::Envelope count_request(const std::string& queue) {
  wire::Envelope request;
  request.mutable_job_request()->set_verb(wire::JOB_COUNT);
  request.mutable_job_request()->mutable_terms()->set_queue(queue);
  return request;
}

std::shared_ptr<RpcServer> listen(Caller& caller, const Address& address, RequestHandler handler) {
  return leaf::try_handle_all([&] { return RpcServer::open(caller.loop, address, std::move(handler)); },
                              [] { return std::shared_ptr<RpcServer>(); });
}

// A listener on the first free port of a range.
std::shared_ptr<RpcServer> listen_anywhere(Caller& caller, Address& address, const RequestHandler& handler) {
  for (int port = 23100; port < 23400; ++port) {
    address = "127.0.0.1:" + std::to_string(port);
    if (auto listener = listen(caller, address, handler)) return listener;
  }
  return nullptr;
}

bool answer_with_length(const wire::Envelope& request, const ReplyCallback& reply) {
  wire::Envelope answer;
  answer.mutable_job_reply()->set_pending(
      static_cast<std::uint32_t>(request.job_request().terms().queue().size()));
  reply(answer);
  return true;
}

// Sends bytes that are no message of ours over a socket of the same protocol.
bool send_garbage(const Address& address) {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (nng_req0_open(&socket) != 0) return false;
  std::string garbage = "\xff\xff\xff not a message";
  const bool dialled = nng_dial(socket, ("tcp://" + address).c_str(), nullptr, 0) == 0;
  const bool sent = dialled && nng_send(socket, garbage.data(), garbage.size(), 0) == 0;
  nng_close(socket);
  return sent;
}

}  // namespace

TEST_CASE("a call brings the answer of its own request") {
  Caller caller;
  Address address;
  const auto listener = listen_anywhere(caller, address, answer_with_length);
  REQUIRE(listener);
  std::vector<std::uint32_t> answers(20, 0);
  std::size_t ended = 0;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    caller.runtime.call(address, count_request(std::string(i + 1, 'q')), kPatience,
                        [&, i](CallResult result) {
                          if (result.answer) answers[i] = result.answer->job_reply().pending();
                          ++ended;
                        });
  }
  REQUIRE(caller.run_until([&] { return ended == answers.size(); }));
  for (std::size_t i = 0; i < answers.size(); ++i) CHECK(answers[i] == i + 1);
}

TEST_CASE("an unanswered call ends at its time-out, once, and a late answer is dropped") {
  Caller caller;
  Address address;
  ReplyCallback kept;
  const auto listener =
      listen_anywhere(caller, address, [&kept](const wire::Envelope&, const ReplyCallback& reply) {
        kept = reply;
        return true;
      });
  REQUIRE(listener);
  int ended = 0;
  bool answered = false;
  caller.runtime.call(address, count_request("a"), Millis(300), [&](CallResult result) {
    ++ended;
    answered = result.answer.has_value();
  });
  REQUIRE(caller.run_until([&] { return ended == 1; }));
  CHECK_FALSE(answered);
  REQUIRE(kept);
  kept(count_request("late"));
  bool waited = false;
  const auto timer = caller.runtime.after(Millis(100), [&] { waited = true; });
  REQUIRE(caller.run_until([&] { return waited; }));
  CHECK(ended == 1);
}

TEST_CASE("a call to a peer that starts to listen later is answered") {
  Caller caller;
  Address address;
  { REQUIRE(listen_anywhere(caller, address, answer_with_length)); }
  bool answered = false;
  int calls = 0;
  std::function<void()> ask = [&] {
    ++calls;
    caller.runtime.call(address, count_request("abc"), Millis(200), [&](CallResult result) {
      if (result.answer) {
        answered = true;
      } else {
        ask();
      }
    });
  };
  ask();
  REQUIRE(caller.run_until([&] { return calls >= 2; }));
  const auto listener = listen(caller, address, answer_with_length);
  REQUIRE(listener);
  CHECK(caller.run_until([&] { return answered; }));
}

// Takes connections and says nothing on them; they stay open when it stops listening.
class MuteListener {
 public:
  MuteListener(boost::asio::io_context& loop, Address& address) : acceptor_(loop) {
    using boost::asio::ip::tcp;
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    acceptor_.listen();
    address = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    accept();
  }
  void stop_listening() { acceptor_.close(); }

 private:
  void accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
          if (error) return;
          taken_.push_back(std::move(socket));
          accept();
        });
  }
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> taken_;
};

TEST_CASE("while a peer is silent it is dialled anew several times a second") {
  Caller caller;
  Address address;
  MuteListener mute(caller.loop, address);
  std::shared_ptr<RpcServer> listener;
  int calls = 0;
  bool answered = false;
  std::function<void()> ask = [&] {
    if (++calls == 3) {  // connections dialled so far hang at the silent listener
      mute.stop_listening();
      listener = listen(caller, address, answer_with_length);
    }
    caller.runtime.call(address, count_request("abc"), Millis(400), [&](const CallResult& result) {
      answered = result.answer.has_value();
      if (!answered) ask();
    });
  };
  ask();
  REQUIRE(caller.run_until([&] { return answered; }));
  CHECK(listener);
  CHECK(calls <= 4);
}

TEST_CASE("a message that is no envelope is dropped and the listener goes on") {
  Caller caller;
  Address address;
  const auto listener = listen_anywhere(caller, address, answer_with_length);
  REQUIRE(listener);
  CHECK(send_garbage(address));
  bool answered = false;
  caller.runtime.call(address, count_request("abc"), kPatience,
                      [&](CallResult result) { answered = result.answer.has_value(); });
  CHECK(caller.run_until([&] { return answered; }));
}

TEST_CASE("a long poll under way does not make later calls go out twice") {
  Caller caller;
  Address address;
  std::vector<ReplyCallback> polls;
  int counted = 0;
  const auto listener =
      listen_anywhere(caller, address, [&](const wire::Envelope& request, const ReplyCallback& reply) {
        if (request.job_request().terms().queue() == "poll") {
          polls.push_back(reply);
          return true;
        }
        ++counted;
        return answer_with_length(request, reply);
      });
  REQUIRE(listener);
  caller.runtime.call(address, count_request("poll"), kPatience, [](const CallResult&) {});
  bool waited = false;
  const auto timer = caller.runtime.after(Millis(700), [&] { waited = true; });
  REQUIRE(caller.run_until([&] { return waited && polls.size() == 1; }));
  bool answered = false;
  caller.runtime.call(address, count_request("a"), kPatience,
                      [&](const CallResult& result) { answered = result.answer.has_value(); });
  REQUIRE(caller.run_until([&] { return answered; }));
  bool settled = false;
  const auto settle = caller.runtime.after(Millis(200), [&] { settled = true; });
  REQUIRE(caller.run_until([&] { return settled; }));
  CHECK(counted == 1);
}

namespace {

// A peer that answers each request under the id of the call before it, as a process could that mixes up its
// callers.
class MixedUpPeer {
 public:
  explicit MixedUpPeer(Address& address) {
    REQUIRE(nng_rep0_open_raw(&socket_) == 0);
    for (int port = 23500; port < 23600; ++port) {
      address = "127.0.0.1:" + std::to_string(port);
      if (nng_listen(socket_, ("tcp://" + address).c_str(), nullptr, 0) == 0) return;
    }
    FAIL("no free port");
  }
  ~MixedUpPeer() { nng_close(socket_); }

  // Answers what has arrived; false: nothing has.
  bool answer_one() {
    nng_msg* message = nullptr;
    if (nng_recvmsg(socket_, &message, NNG_FLAG_NONBLOCK) != 0) return false;
    wire::Envelope request;
    request.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
    wire::Envelope answer;
    answer.set_call_id(request.call_id() - 1);
    answer.mutable_job_reply()->set_outcome(wire::JOB_OK);
    const std::string body = answer.SerializeAsString();
    nng_msg_clear(message);
    nng_msg_append(message, body.data(), body.size());
    nng_sendmsg(socket_, message, 0);
    return true;
  }

 private:
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
};

}  // namespace

TEST_CASE("an answer under the id of a call to another peer reaches nobody") {
  Caller caller;
  Address silent;
  const auto listener =
      listen_anywhere(caller, silent, [](const wire::Envelope&, const ReplyCallback&) { return true; });
  REQUIRE(listener);
  Address mixed_up;
  MixedUpPeer peer(mixed_up);
  std::optional<CallResult> first;
  std::optional<CallResult> second;
  caller.runtime.call(silent, count_request("first"), Millis(600),
                      [&first](CallResult result) { first = std::move(result); });
  caller.runtime.call(mixed_up, count_request("second"), Millis(600),
                      [&second](CallResult result) { second = std::move(result); });
  bool answered = false;
  REQUIRE(caller.run_until([&] {
    answered = peer.answer_one() || answered;
    return first && second;
  }));
  CHECK(answered);
  CHECK_FALSE(first->answer);
  CHECK_FALSE(second->answer);
}
