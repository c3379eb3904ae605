// A baseline for the external processor's benchmark: a gRPC echo server on grpc++ with its callback API, for
// any method. Prints "echo: PORT" to stderr.
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/codegen/server_callback.h>

#include <cstdio>

namespace {

class Echo : public grpc::CallbackGenericService {
  class Reactor : public grpc::ServerGenericBidiReactor {
   public:
    Reactor() { StartRead(&message_); }
    void OnReadDone(bool ok) override {
      if (!ok) return Finish(grpc::Status::OK);
      StartWrite(&message_);
    }
    void OnWriteDone(bool ok) override {
      if (!ok) return Finish(grpc::Status::CANCELLED);
      message_.Clear();
      StartRead(&message_);
    }
    void OnDone() override { delete this; }

   private:
    grpc::ByteBuffer message_;
  };
  grpc::ServerGenericBidiReactor* CreateReactor(grpc::GenericCallbackServerContext*) override {
    return new Reactor;
  }
};

}  // namespace

int main() {
  Echo echo;
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
  builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, 100'000);
  builder.RegisterCallbackGenericService(&echo);
  const auto server = builder.BuildAndStart();
  std::fprintf(stderr, "echo: %d\n", port);
  server->Wait();
}
