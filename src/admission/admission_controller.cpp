// The public interface: sets the time of each event and forwards it to the implementation.
#include "cometfold/admission_controller.h"

#include "admission/controller_impl.h"

namespace cometfold {

AdmissionController::AdmissionController(const AdmissionSettings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController&&) noexcept = default;
AdmissionController& AdmissionController::operator=(AdmissionController&&) noexcept = default;

void AdmissionController::start(Ms now, ActionSink& out) {
  impl_->set_time(now);
  impl_->on_start(out);
}

void AdmissionController::on_host_list(Ms now, HostListUpdate kind, std::span<const HostEntry> entries,
                                       ActionSink& out) {
  impl_->set_time(now);
  impl_->on_host_list(kind, entries, out);
}

void AdmissionController::on_request(Ms now, const Request& request, ActionSink& out) {
  impl_->set_time(now);
  impl_->on_request(request, out);
}

void AdmissionController::on_stream_started(Ms now, RequestId request, std::uint32_t attempt,
                                            ActionSink& out) {
  impl_->set_time(now);
  impl_->on_stream_started(request, attempt, out);
}

void AdmissionController::on_stream_paused(Ms now, RequestId request, std::uint32_t attempt,
                                           ActionSink& out) {
  impl_->set_time(now);
  impl_->on_stream_paused(request, attempt, out);
}

void AdmissionController::on_attempt_end(Ms now, const AttemptResult& result, ActionSink& out) {
  impl_->set_time(now);
  impl_->on_attempt_end(result, out);
}

void AdmissionController::on_client_disconnected(Ms now, RequestId request, ActionSink& out) {
  impl_->set_time(now);
  impl_->on_client_disconnected(request, out);
}

void AdmissionController::on_timer(Ms now, std::uint64_t token, ActionSink& out) {
  impl_->set_time(now);
  impl_->on_timer(token, out);
}

void AdmissionController::update_settings(Ms now, const AdmissionSettings& settings) {
  impl_->set_time(now);
  impl_->on_settings(settings);
}

HandoverSnapshot AdmissionController::export_handover(Ms now) {
  impl_->set_time(now);
  return impl_->export_handover();
}

void AdmissionController::import_handover(Ms now, const HandoverSnapshot& snapshot) {
  impl_->set_time(now);
  impl_->import_handover(snapshot);
}

void AdmissionController::assume_unknown_predecessor(Ms now) { import_handover(now, {}); }

void AdmissionController::on_predecessor_exited(Ms now) {
  impl_->set_time(now);
  impl_->on_predecessor_exited();
}

std::size_t AdmissionController::excluded_host_count(Ms now) const {
  impl_->set_time(now);
  return impl_->excluded_host_count();
}

void AdmissionController::on_health_check_end(Ms now, HostId host, Ms, bool ok, const LoadReport& load,
                                              ActionSink&) {
  impl_->set_time(now);
  impl_->on_health_check_end(host, ok, load);
}

}  // namespace cometfold
