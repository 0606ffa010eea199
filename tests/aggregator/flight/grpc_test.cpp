// Message framing, time-outs and statuses of gRPC.
#include "aggregator/flight/grpc.hpp"

#include <doctest/doctest.h>

using namespace winchhall::flight;

TEST_CASE("messages are taken one at a time, each once it is complete") {
  const std::string bytes = frame_message("first") + frame_message("");
  std::string in = bytes.substr(0, 7);
  bool malformed = false;
  CHECK(!take_message(in, 100, malformed));
  in = bytes;
  CHECK(take_message(in, 100, malformed) == "first");
  CHECK(take_message(in, 100, malformed) == "");
  CHECK(!take_message(in, 100, malformed));
  CHECK(!malformed);
  CHECK(in.empty());
}

TEST_CASE("a compressed message and one that is too long are malformed") {
  bool malformed = false;
  std::string compressed = frame_message("x");
  compressed[0] = 1;
  CHECK(!take_message(compressed, 100, malformed));
  CHECK(malformed);
  std::string long_one = frame_message("12345");
  CHECK(!take_message(long_one, 4, malformed));
  CHECK(malformed);
}

TEST_CASE("time-outs in every unit, and invalid ones") {
  CHECK(read_timeout("2H") == 7200e3);
  CHECK(read_timeout("2M") == 120e3);
  CHECK(read_timeout("2S") == 2e3);
  CHECK(read_timeout("2m") == 2);
  CHECK(read_timeout("2u") == 2e-3);
  CHECK(read_timeout("2n") == 2e-6);
  for (const char* text : {"", "m", "2", "2x", "-2m", "2mm", "123456789m"}) CHECK(!read_timeout(text));
  CHECK(write_timeout(2.9) == "2m");
  CHECK(write_timeout(0) == "1m");
  CHECK(read_timeout(write_timeout(1e12)));
}

TEST_CASE("base64 of every length, with and without padding") {
  std::string bytes;
  for (int i = 0; i < 10; ++i, bytes.push_back(static_cast<char>(37 * i)))
    CHECK(decode_base64(encode_base64(bytes)) == bytes);
  CHECK(encode_base64("ab") == "YWI");
  CHECK(decode_base64("YWI=") == "ab");
  CHECK(!decode_base64("Y!"));
}

TEST_CASE("trailers carry the status and the delay before a retry") {
  const Headers trailers = status_trailers(Status::unavailable, "busy", 1250.5);
  CHECK(*find_header(trailers, "grpc-status") == "14");
  CHECK(*find_header(trailers, "grpc-message") == "busy");
  CHECK(read_retry_after(trailers) == doctest::Approx(1250.5));
  CHECK(!read_retry_after(status_trailers(Status::unavailable, "busy")));
  CHECK(!read_retry_after({{"grpc-status-details-bin", "!"}}));
}
