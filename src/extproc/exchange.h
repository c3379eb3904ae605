// One call of `Process`: its messages in the order that the protocol allows, and what each is answered with.
// What is decided is the processor's and the engine's.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "extproc/messages.h"
#include "extproc/outcomes.h"
#include "extproc/processor.h"

namespace cometfold::extproc {

// An answer to the proxy's client; see `Immediate`.
struct Answer {
  int status = 503;
  int grpc_status = 14;
  Ms retry_after = 0;
  const char* details = "";
  std::string body;
};

class Processor::Exchange : public http2::grpc::CallEvents {
 public:
  // The settings that this call goes by to its end, whatever is loaded meanwhile.
  Exchange(Processor& owner, http2::grpc::Call& call, std::shared_ptr<const Settings> settings,
           std::shared_ptr<const Mapper> mapper)
      : owner_(owner), call_(call), settings_(std::move(settings)), mapper_(std::move(mapper)) {}

  // http2::grpc::CallEvents
  void on_message(Ms now, std::string_view message) override;
  void on_half_closed(Ms now) override;
  void on_gone(Ms now) override;

  RecordId record() const { return record_; }
  void bind(RecordId record) { record_ = record; }
  void unbind() { record_ = 0; }
  bool waits() const { return waits_; }  // for its decision

  // The decision: a host ...
  void route(std::string_view endpoint, Ms left, bool keep_retries);
  // ... which is taken back if it has not left yet, and the call waits again ...
  bool take_back();
  // ... or an answer to the client, and the end of the call.
  void answer(const Answer& answer);
  // Another call has taken this one's place.
  void superseded();

 private:
  struct Report {
    Seen seen;
    LoadReport load;
    std::string_view served;  // by which host, if the proxy says so
  };

  void ask(Ms now, const Message& message);
  void report(Ms now, const Message& message);
  void on_report(Ms now, const Report& report);
  void on_part(const Message& message);
  void forbidden(Ms now, const char* what);
  void complain(Ms now, http2::grpc::Status status);

  Processor& owner_;
  http2::grpc::Call& call_;
  std::shared_ptr<const Settings> settings_;
  std::shared_ptr<const Mapper> mapper_;
  RecordId record_ = 0;
  bool waits_ = false, over_ = false, observed_ = false, grpc_ = false;
  bool asked_ = false, request_over_ = false, response_seen_ = false, response_over_ = false;
  bool started_ = false;
  bool echo_request_ = false, echo_response_ = false, override_modes_ = false;
};

}  // namespace cometfold::extproc
