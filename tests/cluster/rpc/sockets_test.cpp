// RPC between processes over NNG on loopback: replies, time-outs, late replies, peers that start later.
//
// NNG requires its main header to be included first.
#include <nng/nng.h>
//
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "cluster/rpc/rpc_client.hpp"
#include "cluster/rpc/rpc_server.hpp"

using namespace winchhall::cluster;

namespace {

constexpr Millis kTimeout{5000};

constexpr int kPortsPerProcess = 48;
// Ports of a process that tests with one server try in turn; as many more are reserved for faulty peers.
constexpr int kSingleServerPorts = 8;

// First port of this process. The range lies below the ephemeral ports of the kernel and depends on the
// process ID, because several of these tests may run at the same time.
int first_port() {
  constexpr int kFirst = 10240;
  constexpr int kProcesses = 400;
  return kFirst + static_cast<int>(getpid()) % kProcesses * kPortsPerProcess;
}

// A client on its own event loop, which `run_until` drives.
struct ClientFixture {
  boost::asio::io_context loop{1};
  AsioRuntime runtime{loop};
  RpcClient rpc_client{loop, runtime};

  ClientFixture() { runtime.set_channel(rpc_client); }

  bool run_until(const std::function<bool()>& reached) {
    const TimePoint limit = runtime.now() + kTimeout;
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

std::shared_ptr<RpcServer> listen(ClientFixture& client, const Address& address, RequestHandler handler) {
  return leaf::try_handle_all([&] { return RpcServer::open(client.loop, address, std::move(handler)); },
                              [] { return std::shared_ptr<RpcServer>(); });
}

// A server on the first free port of a range.
std::shared_ptr<RpcServer> listen_on_free_port(ClientFixture& client, Address& address,
                                               const RequestHandler& handler) {
  const int first = first_port();
  for (int port = first; port < first + kSingleServerPorts; ++port) {
    address = "127.0.0.1:" + std::to_string(port);
    if (auto server = listen(client, address, handler)) return server;
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

// An NNG socket owned by a test. It is closed in the background as sockets of the program are, see
// socket_closer.hpp.
struct TestSocket {
  explicit TestSocket(int (*open)(nng_socket*)) {
    REQUIRE(open(&socket) == 0);
    pipes->watch(socket);
  }
  ~TestSocket() {
    nng_dialer_close(dialer);
    nng_listener_close(listener);
    pipes->close_all();
    close_socket_in_background(socket, std::move(pipes));
  }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  nng_socket socket = NNG_SOCKET_INITIALIZER;
  nng_dialer dialer = NNG_DIALER_INITIALIZER;
  nng_listener listener = NNG_LISTENER_INITIALIZER;
  std::unique_ptr<SocketPipes> pipes = std::make_unique<SocketPipes>();
};

// Sends bytes that are not a serialized Envelope over a socket of the same protocol. False if that failed.
bool send_garbage(const Address& address) {
  TestSocket test(&nng_req0_open);
  std::string garbage = "\xff\xff\xff not a message";
  const bool dialled = nng_dial(test.socket, ("tcp://" + address).c_str(), &test.dialer, 0) == 0;
  return dialled && nng_send(test.socket, garbage.data(), garbage.size(), 0) == 0;
}

}  // namespace

TEST_CASE("concurrent calls each get the reply to their own request") {
  ClientFixture client;
  Address address;
  const auto server = listen_on_free_port(client, address, answer_with_length);
  REQUIRE(server);
  std::vector<std::uint32_t> answers(20, 0);
  std::size_t ended = 0;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    client.runtime.call(address, count_request(std::string(i + 1, 'q')), kTimeout, [&, i](CallResult result) {
      if (result.answer) answers[i] = result.answer->job_reply().pending();
      ++ended;
    });
  }
  REQUIRE(client.run_until([&] { return ended == answers.size(); }));
  for (std::size_t i = 0; i < answers.size(); ++i) CHECK(answers[i] == i + 1);
}

TEST_CASE("an unanswered call times out exactly once, and a late reply is dropped") {
  ClientFixture client;
  Address address;
  ReplyCallback late_reply;
  const auto server =
      listen_on_free_port(client, address, [&late_reply](const wire::Envelope&, const ReplyCallback& reply) {
        late_reply = reply;
        return true;
      });
  REQUIRE(server);
  int ended = 0;
  bool answered = false;
  client.runtime.call(address, count_request("a"), Millis(300), [&](CallResult result) {
    ++ended;
    answered = result.answer.has_value();
  });
  REQUIRE(client.run_until([&] { return ended == 1; }));
  CHECK_FALSE(answered);
  REQUIRE(late_reply);
  late_reply(count_request("late"));
  bool waited = false;
  const auto timer = client.runtime.after(Millis(100), [&] { waited = true; });
  REQUIRE(client.run_until([&] { return waited; }));
  CHECK(ended == 1);
}

TEST_CASE("a peer that starts to listen later is reached") {
  ClientFixture client;
  Address address;
  { REQUIRE(listen_on_free_port(client, address, answer_with_length)); }
  bool answered = false;
  int calls = 0;
  std::function<void()> call_until_answered = [&] {
    ++calls;
    client.runtime.call(address, count_request("abc"), Millis(200), [&](CallResult result) {
      if (result.answer) {
        answered = true;
      } else {
        call_until_answered();
      }
    });
  };
  call_until_answered();
  REQUIRE(client.run_until([&] { return calls >= 2; }));
  const auto server = listen(client, address, answer_with_length);
  REQUIRE(server);
  CHECK(client.run_until([&] { return answered; }));
}

// Accepts connections and never responds; they stay open when it stops listening.
class SilentServer {
 public:
  SilentServer(boost::asio::io_context& loop, Address& address) : acceptor_(loop) {
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
          connections_.push_back(std::move(socket));
          accept();
        });
  }
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<boost::asio::ip::tcp::socket> connections_;
};

TEST_CASE("while a peer doesn't respond, additional connections are opened several times a second") {
  ClientFixture client;
  Address address;
  SilentServer silent(client.loop, address);
  std::shared_ptr<RpcServer> server;
  int calls = 0;
  bool answered = false;
  std::function<void()> call_until_answered = [&] {
    if (++calls == 3) {  // the connections so far stay open to the silent server
      silent.stop_listening();
      server = listen(client, address, answer_with_length);
    }
    client.runtime.call(address, count_request("abc"), Millis(400), [&](const CallResult& result) {
      answered = result.answer.has_value();
      if (!answered) call_until_answered();
    });
  };
  call_until_answered();
  REQUIRE(client.run_until([&] { return answered; }));
  CHECK(server);
  CHECK(calls <= 4);
}

// Simulates a lost SYN: the first connection is not established, although the peer would accept another one.
TEST_CASE("while a connection is not established, another one is opened before any call has timed out") {
  ClientFixture client;
  Address address;
  SilentServer silent(client.loop, address);
  bool first_ended = false;
  client.runtime.call(address, count_request("abc"), kTimeout,
                      [&](const CallResult&) { first_ended = true; });
  bool waited = false;
  const auto timer = client.runtime.after(Millis(300), [&] { waited = true; });
  REQUIRE(client.run_until([&] { return waited; }));
  silent.stop_listening();
  const auto server = listen(client, address, answer_with_length);
  REQUIRE(server);
  bool answered = false;
  client.runtime.call(address, count_request("abc"), kTimeout, [&](const CallResult& result) {
    answered = result.answer.has_value() && !first_ended;
  });
  CHECK(client.run_until([&] { return answered; }));
}

TEST_CASE("a message that can't be parsed is dropped and the server continues") {
  ClientFixture client;
  Address address;
  const auto server = listen_on_free_port(client, address, answer_with_length);
  REQUIRE(server);
  CHECK(send_garbage(address));
  bool answered = false;
  client.runtime.call(address, count_request("abc"), kTimeout,
                      [&](CallResult result) { answered = result.answer.has_value(); });
  CHECK(client.run_until([&] { return answered; }));
}

TEST_CASE("a pending long poll does not cause later calls to be sent twice") {
  ClientFixture client;
  Address address;
  std::vector<ReplyCallback> polls;
  int counted = 0;
  const auto server =
      listen_on_free_port(client, address, [&](const wire::Envelope& request, const ReplyCallback& reply) {
        if (request.job_request().terms().queue() == "poll") {
          polls.push_back(reply);
          return true;
        }
        ++counted;
        return answer_with_length(request, reply);
      });
  REQUIRE(server);
  client.runtime.call(address, count_request("poll"), kTimeout, [](const CallResult&) {});
  bool waited = false;
  const auto timer = client.runtime.after(Millis(700), [&] { waited = true; });
  REQUIRE(client.run_until([&] { return waited && polls.size() == 1; }));
  bool answered = false;
  client.runtime.call(address, count_request("a"), kTimeout,
                      [&](const CallResult& result) { answered = result.answer.has_value(); });
  REQUIRE(client.run_until([&] { return answered; }));
  bool elapsed = false;
  const auto second_timer = client.runtime.after(Millis(200), [&] { elapsed = true; });
  REQUIRE(client.run_until([&] { return elapsed; }));
  CHECK(counted == 1);
}

namespace {

// Repeatedly opens and closes a server and a client of it while their connections are being established.
// Returns the longest time that closing them took.
Millis open_and_close(int first_port_used, int rounds) {
  constexpr int kPorts = 2;
  ClientFixture client;
  Millis longest{0};
  for (int round = 0; round < rounds; ++round) {
    const Address address = "127.0.0.1:" + std::to_string(first_port_used + round % kPorts);
    auto rpc_client = std::make_unique<RpcClient>(client.loop, client.runtime);
    int ended = 0;
    const int calls = 1 + round % 7;
    const auto call_all = [&] {
      for (int call = 0; call < calls; ++call)
        rpc_client->call(address, count_request("abc"), Millis(50), [&ended](const CallResult&) { ++ended; });
    };
    if (round % 3 == 0) call_all();  // these calls connect before the server listens
    std::shared_ptr<RpcServer> server = listen(client, address, answer_with_length);
    if (round % 3 != 0) call_all();
    const TimePoint wait_until = client.runtime.now() + Millis(round % 5 == 0 ? 0 : 60);
    while (ended < calls && client.runtime.now() < wait_until) client.loop.run_one_for(Millis(5));
    const TimePoint closed_at = client.runtime.now();
    if (round % 2 == 0) rpc_client.reset();
    server.reset();
    rpc_client.reset();
    longest = std::max(longest, std::chrono::duration_cast<Millis>(client.runtime.now() - closed_at));
  }
  return longest;
}

}  // namespace

// Guards against calls of nng_close() while connections are being established or closed, which abort the
// process or never return; see socket_closer.hpp.
TEST_CASE("servers and clients that close while connections are being established neither abort nor block") {
  constexpr int kThreads = 16;
  constexpr int kRounds = 60;
  std::vector<Millis> longest(kThreads, Millis(0));
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&longest, thread] {
      longest[static_cast<std::size_t>(thread)] =
          open_and_close(first_port() + 2 * kSingleServerPorts + 2 * thread, kRounds);
    });
  }
  for (std::thread& thread : threads) thread.join();
  for (const Millis time : longest) CHECK(time < kTimeout);
}

namespace {

// A faulty peer that replies to each request with the call id before the request's.
class WrongCallIdPeer {
 public:
  explicit WrongCallIdPeer(Address& address) {
    const int first = first_port() + kSingleServerPorts;
    for (int port = first; port < first + kSingleServerPorts; ++port) {
      address = "127.0.0.1:" + std::to_string(port);
      if (nng_listen(test_.socket, ("tcp://" + address).c_str(), &test_.listener, 0) == 0) return;
    }
    FAIL("no free port");
  }

  // Replies to one request; false if none has arrived.
  bool answer_one() {
    nng_msg* message = nullptr;
    if (nng_recvmsg(test_.socket, &message, NNG_FLAG_NONBLOCK) != 0) return false;
    wire::Envelope request;
    request.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
    wire::Envelope answer;
    answer.set_call_id(request.call_id() - 1);
    answer.mutable_job_reply()->set_outcome(wire::JOB_OK);
    const std::string body = answer.SerializeAsString();
    nng_msg_clear(message);
    nng_msg_append(message, body.data(), body.size());
    nng_sendmsg(test_.socket, message, 0);
    return true;
  }

 private:
  TestSocket test_{&nng_rep0_open_raw};
};

}  // namespace

TEST_CASE("a reply with the id of a call to another peer is ignored") {
  ClientFixture client;
  Address silent;
  const auto server =
      listen_on_free_port(client, silent, [](const wire::Envelope&, const ReplyCallback&) { return true; });
  REQUIRE(server);
  Address wrong_id_address;
  WrongCallIdPeer peer(wrong_id_address);
  std::optional<CallResult> first;
  std::optional<CallResult> second;
  client.runtime.call(silent, count_request("first"), Millis(600),
                      [&first](CallResult result) { first = std::move(result); });
  client.runtime.call(wrong_id_address, count_request("second"), Millis(600),
                      [&second](CallResult result) { second = std::move(result); });
  bool answered = false;
  REQUIRE(client.run_until([&] {
    answered = peer.answer_one() || answered;
    return first && second;
  }));
  CHECK(answered);
  CHECK_FALSE(first->answer);
  CHECK_FALSE(second->answer);
}
