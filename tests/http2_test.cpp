// Tests of the HTTP/2 and gRPC state machines: valid calls with their bytes split at any position, and peers
// that try to exhaust memory or CPU time.
#include <random>

#include "http2_support.h"

namespace cometfold::http2::testing {
namespace {

using grpc::Code;

TEST(Grpc, EchoesMessagesHoweverTheBytesAreSplit) {
  for (const std::size_t chunk_bytes : {1, 2, 3, 7, 1000, 1 << 20}) {
    Server server;
    Client client;
    const auto record = client.call();
    const std::string large(100'000, 'x');
    record->call->send("");
    record->call->send("one");
    record->call->send(large);
    client.transfer(server, 0, chunk_bytes);
    EXPECT_EQ(record->messages, (std::vector<std::string>{"", "one", large})) << chunk_bytes;
    EXPECT_FALSE(record->status);
    record->call->half_close();
    client.transfer(server, 0, chunk_bytes);
    ASSERT_TRUE(record->status);
    EXPECT_EQ(record->status->code, Code::kOk);
    EXPECT_TRUE(server.echo.calls.at(0)->closed);
    EXPECT_EQ(server.connection->session().stream_count(), 0u);
    EXPECT_EQ(server.connection->session().unsent_bytes(), 0u);
    EXPECT_EQ(server.connection->incomplete_bytes(), 0u);
  }
}

TEST(Grpc, ManyCallsShareAConnection) {
  Server server;
  Client client;
  std::vector<std::shared_ptr<ClientCallRecord>> records;
  for (int i = 0; i < 1000; ++i) {
    records.push_back(client.call());
    records.back()->call->send(std::to_string(i));
  }
  client.transfer(server);
  for (int i = 0; i < 1000; ++i) EXPECT_EQ(records[i]->messages, std::vector{std::to_string(i)});
  EXPECT_EQ(server.connection->session().stream_count(), 1000u);
}

TEST(Grpc, AServersEarlyFinishIsDeliveredAndFreesTheStream) {
  Server server;
  server.echo.suppress_replies = true;
  Client client;
  const auto record = client.call();
  record->call->send("one");
  client.transfer(server);
  server.echo.calls.at(0)->call->send(std::string(50'000, 'y'));
  server.echo.calls.at(0)->call->finish({Code::kAborted, "100% \n done"});
  client.transfer(server);
  ASSERT_EQ(record->messages.size(), 1u);
  EXPECT_EQ(record->messages[0].size(), 50'000u);
  ASSERT_TRUE(record->status);
  EXPECT_EQ(record->status->code, Code::kAborted);
  EXPECT_EQ(record->status->message, "100% \n done");
  EXPECT_EQ(server.connection->session().stream_count(), 0u);
}

TEST(Grpc, RespondsToInvalidCallsAsPublished) {
  Server server;
  Client client;
  const auto unknown = client.call("/test.Echo/Nothing");
  client.transfer(server);
  ASSERT_TRUE(unknown->status);
  EXPECT_EQ(unknown->status->code, Code::kUnimplemented);
  EXPECT_EQ(unknown->status->message, "no method /test.Echo/Nothing");

  Server plain;
  plain.feed(kPreface +
             frame(kHeadersFrame, kEndHeaders | kEndStream, 1,
                   literal(":method", "POST") + literal(":scheme", "http") + literal(":path", "/x") +
                       literal(":authority", "a") + literal("content-type", "application/json")));
  EXPECT_NE(plain.take_output().find("application/grpc\n"),
            std::string::npos);  // body of the 415 response
  plain.feed(frame(kHeadersFrame, kEndHeaders | kEndStream, 3,
                   literal(":method", "GET") + literal(":scheme", "http") + literal(":path", "/x") +
                       literal(":authority", "a")));
  EXPECT_NE(plain.take_output().find("POST"), std::string::npos);
  EXPECT_TRUE(plain.alive);
  EXPECT_EQ(plain.connection->session().stream_count(), 0u);
}

TEST(Grpc, InvalidMessagesEndOnlyTheirCallWithAStatus) {
  const auto status_of = [](const std::string& bytes, bool end) {
    grpc::ServerLimits limits;
    limits.max_message_bytes = 1000;
    Server server(limits);
    Client client;
    const auto other = client.call();
    const auto record = client.call();
    client.transfer(server);
    // Bypasses the client's message framing.
    server.feed(frame(kDataFrame, end ? kEndStream : 0, 3, bytes));
    client.transfer(server);
    other->call->send("still");
    client.transfer(server);
    EXPECT_EQ(other->messages, std::vector<std::string>{"still"});
    return record->status ? record->status->code : Code::kOk;
  };
  EXPECT_EQ(status_of(message("good"), false), Code::kOk);
  EXPECT_EQ(status_of(std::string("\1\0\0\0\1x", 6), false), Code::kUnimplemented);     // compressed
  EXPECT_EQ(status_of(std::string("\0\0\0\7\0", 5), false), Code::kResourceExhausted);  // too large
  EXPECT_EQ(status_of(std::string("\0\xff\xff\xff\xff", 5), false), Code::kResourceExhausted);
  EXPECT_EQ(status_of(std::string("\0\0\0", 3), true), Code::kInternal);        // ends inside the prefix
  EXPECT_EQ(status_of(std::string("\0\0\0\0\5ab", 7), true), Code::kInternal);  // ends inside the message
}

TEST(Grpc, BoundsIncompleteMessagesOfAConnection) {
  grpc::ServerLimits limits;
  limits.max_incomplete_bytes = 10'000;
  Server server(limits);
  server.feed(kPreface);
  std::string part;
  grpc::append_prefix(part, 5000);
  part += std::string(2995, 'x');
  for (std::uint32_t id = 1; id <= 19; id += 2) {
    server.feed(frame(kHeadersFrame, kEndHeaders, id, call_headers()) + frame(kDataFrame, 0, id, part));
    server.take_output();
    EXPECT_LE(server.connection->incomplete_bytes(), 13'000u);
  }
  EXPECT_TRUE(server.alive);
  EXPECT_EQ(server.connection->session().stream_count(), 3u);  // the other calls have been ended
}

TEST(Grpc, EndsACallWithoutAFirstMessage) {
  Server server;
  Client client;
  const auto silent = client.call(), speaking = client.call();
  speaking->call->send("x");
  client.transfer(server);
  server.connection->sweep(9'000);
  client.transfer(server);
  EXPECT_FALSE(silent->status);
  server.connection->sweep(10'001);
  client.transfer(server);
  ASSERT_TRUE(silent->status);
  EXPECT_EQ(silent->status->code, Code::kDeadlineExceeded);
  EXPECT_FALSE(speaking->status);
}

TEST(Grpc, WithdrawsAMessageOnlyBeforeItIsRendered) {
  Server server;
  server.echo.suppress_replies = true;
  Client client;
  const auto record = client.call();
  record->call->send("one");
  client.transfer(server);
  auto* call = server.echo.calls.at(0)->call;
  call->send("wrong");
  EXPECT_TRUE(call->withdraw());
  EXPECT_FALSE(call->withdraw());
  call->send("right");
  client.transfer(server);
  EXPECT_EQ(record->messages, std::vector<std::string>{"right"});
  EXPECT_FALSE(call->withdraw());
}

TEST(Grpc, ParsesTimeouts) {
  EXPECT_EQ(grpc::parse_timeout("100m"), 100);
  EXPECT_EQ(grpc::parse_timeout("2S"), 2000);
  EXPECT_EQ(grpc::parse_timeout("99999999H"), 99999999.0 * 3'600'000);
  EXPECT_EQ(grpc::parse_timeout("5000u"), 5);
  for (const char* bad : {"", "m", "100", "1.5S", "-1S", "123456789m", "1 S", "1x"}) {
    EXPECT_FALSE(grpc::parse_timeout(bad)) << bad;
  }
}

// ---- attacks ----

ErrorCode error_after_flood(Server& server, const std::string& flood, std::size_t times,
                            const std::string& opening = kPreface) {
  server.feed(opening);
  for (std::size_t i = 0; i < times && server.alive; ++i) {
    server.feed(flood);
    server.take_output();
  }
  return server.connection->session().termination_code();
}

TEST(Attack, FloodsOfCheapFramesEndTheConnection) {
  const std::pair<const char*, std::string> floods[] = {
      {"PING", frame(kPingFrame, 0, 0, "12345678")},
      {"SETTINGS", frame(kSettingsFrame, 0, 0)},
      {"WINDOW_UPDATE", frame(kWindowFrame, 0, 0, std::string("\0\0\0\1", 4))},
  };
  for (const auto& [name, flood] : floods) {
    Server server;
    EXPECT_EQ(error_after_flood(server, flood, 1900), 0u) << name;  // within the burst
    Server flooded;
    EXPECT_EQ(error_after_flood(flooded, flood, 2100), NGHTTP2_ENHANCE_YOUR_CALM) << name;
    EXPECT_FALSE(flooded.alive);
  }
  Server empty;
  EXPECT_EQ(error_after_flood(empty, frame(kDataFrame, 0, 1), 2100,
                              kPreface + frame(kHeadersFrame, kEndHeaders, 1, call_headers())),
            NGHTTP2_ENHANCE_YOUR_CALM);
}

TEST(Attack, RapidResetsEndTheConnectionButResetsAfterWorkDoNot) {
  Server attacked;
  attacked.feed(kPreface);
  std::uint32_t id = 1;
  for (; id < 10'000 && attacked.alive; id += 2) {
    attacked.feed(frame(kHeadersFrame, kEndHeaders, id, call_headers()) +
                  frame(kResetFrame, 0, id, std::string("\0\0\0\10", 4)));
    attacked.take_output();
  }
  EXPECT_EQ(attacked.connection->session().termination_code(), NGHTTP2_ENHANCE_YOUR_CALM);
  const std::uint32_t opened_streams = id / 2;
  EXPECT_NEAR(opened_streams, 2000, 5);
  EXPECT_LE(attacked.connection->session().stream_count(), 1u);

  Server busy;
  busy.feed(kPreface);
  for (id = 1; id < 20'000; id += 2) {
    busy.feed(frame(kHeadersFrame, kEndHeaders, id, call_headers()) +
              frame(kDataFrame, 0, id, message("work")) +
              frame(kResetFrame, 0, id, std::string("\0\0\0\10", 4)));
    busy.take_output();
  }
  EXPECT_TRUE(busy.alive);
}

TEST(Attack, AFloodOfContinuationsEndsTheConnection) {
  Server server;
  server.feed(kPreface + frame(kHeadersFrame, 0, 1, call_headers()));
  std::size_t sent = 0;
  for (; sent < 100 && server.alive; ++sent) {
    server.feed(frame(kContinuationFrame, 0, 1, literal("x-" + std::to_string(sent), "v")));
  }
  EXPECT_FALSE(server.alive);
  EXPECT_LE(sent, 10u);
}

TEST(Attack, AHeaderBombIsNotExpanded) {
  // Adds a header of 4,000 bytes to the dynamic table. Each byte of `bomb` then refers to it.
  std::string first = call_headers();
  first += std::string(1, '\x40');  // literal with incremental indexing, new name
  first += std::string("\1b", 2);
  first += std::string("\x7f", 1) + std::string(1, static_cast<char>(((4000 - 127) & 127) | 128)) +
           std::string(1, static_cast<char>((4000 - 127) >> 7)) + std::string(4000, 'v');
  Server server;
  server.feed(kPreface + frame(kHeadersFrame, kEndHeaders, 1, first));
  server.take_output();
  EXPECT_TRUE(server.alive);
  EXPECT_EQ(server.echo.calls.size(), 1u);
  const std::string bomb = call_headers() + std::string(15'000, '\xbe');  // index 62: the newest entry
  server.feed(frame(kHeadersFrame, kEndHeaders, 3, bomb));                // 60 MB if it were stored
  EXPECT_EQ(server.connection->session().termination_code(), NGHTTP2_ENHANCE_YOUR_CALM);
  EXPECT_EQ(server.echo.calls.size(), 1u);
}

TEST(Attack, LargeHeadersAreRejectedAndTheConnectionStaysOpen) {
  Server server;
  const std::string large = call_headers() + literal("x-large", std::string(14'000, 'v')) +
                            literal("x-larger", std::string(14'000, 'v'));
  server.feed(kPreface + frame(kHeadersFrame, 0, 1, large.substr(0, 16'000)) +
              frame(kContinuationFrame, kEndHeaders, 1, large.substr(16'000)));
  EXPECT_TRUE(server.alive);
  EXPECT_EQ(server.echo.calls.size(), 0u);
  server.take_output();
  EXPECT_EQ(server.connection->session().stream_count(), 0u);
  server.feed(frame(kHeadersFrame, kEndHeaders, 3, call_headers()) + frame(kDataFrame, 0, 3, message("x")));
  EXPECT_EQ(server.echo.calls.at(0)->messages, std::vector<std::string>{"x"});
}

TEST(Attack, StreamsAreBoundedWhateverTheClientOpens) {
  grpc::ServerLimits limits;
  limits.http2.max_concurrent_streams = 100;
  Server server(limits);
  server.feed(kPreface);
  server.feed(frame(kSettingsFrame, 1, 0));  // SETTINGS acknowledgement, which makes the limit effective
  server.take_output();
  for (std::uint32_t id = 1; id < 2000; id += 2) {
    server.feed(frame(kHeadersFrame, kEndHeaders, id, call_headers()));
    server.take_output();
    EXPECT_LE(server.connection->session().stream_count(), 100u);
  }
  EXPECT_EQ(server.echo.calls.size(), 100u);
}

TEST(Attack, AClientThatDoesNotReadIsNotReadFrom) {
  grpc::ServerLimits limits;
  limits.http2.max_unsent_bytes = 100'000;
  Server server(limits);
  server.feed(kPreface + frame(kHeadersFrame, kEndHeaders, 1, call_headers()));
  const std::string large(10'000, 'x');
  std::size_t fed = 0;
  while (server.connection->session().wants_input() && fed < 1000) {
    server.feed(frame(kDataFrame, 0, 1, message(large)));
    ++fed;
  }
  EXPECT_LE(fed, 12u);
  EXPECT_FALSE(server.connection->session().wants_input());
  EXPECT_LE(server.connection->session().unsent_bytes(), 200'000u);
}

TEST(Attack, AnyBytesLeaveNoCallOpen) {
  std::mt19937 random(7);
  Client sample;
  const auto record = sample.call();
  record->call->send("something to be corrupted");
  const std::string good = sample.take_output();
  for (int round = 0; round < 3000; ++round) {
    Server server;
    std::string bytes = good;
    const int corrupted_bytes = static_cast<int>(random() % 6);
    for (int i = 0; i < corrupted_bytes; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 4 == 0) bytes.resize(1 + random() % (bytes.size() - 1));
    if (random() % 4 == 0) bytes += bytes.substr(random() % bytes.size());
    for (std::size_t at = 0; at < bytes.size();) {
      const std::size_t chunk_bytes = 1 + random() % 40;
      server.feed(std::string_view(bytes).substr(at, chunk_bytes));
      server.take_output();
      at += chunk_bytes;
    }
    auto calls = server.echo.calls;
    server.connection.reset();
    for (const auto& call : calls) EXPECT_TRUE(call->closed);
  }
}

TEST(Drain, AcceptsCallsUntilTheSecondGoawayAndFinishesOpenOnes) {
  Server server;
  Client client;
  const auto before = client.call();
  before->call->send("a");
  client.transfer(server);
  server.connection->session().announce_drain();
  const auto crossing = client.call();  // sent before the client receives the GOAWAY
  crossing->call->send("b");
  server.feed(client.take_output());
  client.transfer(server);
  EXPECT_EQ(crossing->messages, std::vector<std::string>{"b"});
  server.connection->session().drain();
  EXPECT_FALSE(server.connection->session().done());
  client.transfer(server);
  EXPECT_EQ(client.call()->call, nullptr);
  before->call->send("c");
  before->call->half_close();
  crossing->call->half_close();
  client.transfer(server);
  EXPECT_EQ(before->messages, (std::vector<std::string>{"a", "c"}));
  EXPECT_EQ(before->status.value().code, Code::kOk);
  EXPECT_EQ(crossing->status.value().code, Code::kOk);
  EXPECT_TRUE(server.connection->session().done());
}

}  // namespace
}  // namespace cometfold::http2::testing
