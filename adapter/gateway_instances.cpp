#include "adapter/gateway_instances.h"

#include "adapter/settings.h"

namespace cometfold::wire {

std::string GatewayInstances::handle_batch(Bytes frame) {
  const Batch batch = read_batch(frame);
  ActionEncoder encoder;
  std::uint32_t selected = 0;
  for (std::size_t i = 0; i < batch.event_count; ++i) {
    const EventRecord event(batch.records.subspan(i * kEventSize, kEventSize), batch.tail);
    if (event.code() == EventCode::kSelectInstance) {
      selected = event.selected_instance();
    } else if (event.code() == EventCode::kHostList) {
      auto list = event.host_list();
      host_lists_[list.number] = std::move(list.entries);
    } else {
      handle_event(event, selected, batch.now, encoder);
    }
  }
  return encoder.finish();
}

void GatewayInstances::handle_event(const EventRecord& event, std::uint32_t id, Ms now,
                                    ActionEncoder& encoder) {
  ActionEncoder::Sink out(encoder, id);
  if (event.code() == EventCode::kInstanceStart) return start_instance(event, id, now, out);
  const auto it = instances_.find(id);
  if (it == instances_.end()) return;
  Instance& instance = it->second;
  AdmissionController& controller = instance.controller;
  switch (event.code()) {
    case EventCode::kHostListUpdate:
      return update_hosts(event, instance, now, out);
    case EventCode::kRequest:
      return controller.on_request(now, event.request(), out);
    case EventCode::kHealthCheckEnd: {
      const auto end = event.health_check_end(instance.load_fields);
      return controller.on_health_check_end(now, end.host, end.duration_ms, end.ok, end.load, out);
    }
    case EventCode::kTimer:
      return controller.on_timer(now, event.timer_token(), out);
    case EventCode::kClientDisconnected:
      return controller.on_client_disconnected(now, event.disconnected_request(), out);
    case EventCode::kStreamStarted: {
      const auto start = event.stream_started();
      return controller.on_stream_started(now, start.request, start.attempt, out);
    }
    case EventCode::kAttemptEnd:
      return controller.on_attempt_end(now, event.attempt_end(instance.load_fields), out);
    case EventCode::kInstanceKilled:
      instances_.erase(it);
      return;
    default:
      return;  // skips events of later protocol versions
  }
}

void GatewayInstances::start_instance(const EventRecord& event, std::uint32_t id, Ms now, ActionSink& out) {
  const auto start = event.instance_start();
  const AdmissionSettings settings = read_settings(start.settings);
  Instance instance{AdmissionController(settings, start.seed), settings.load_report_fields};
  instances_.insert_or_assign(id, std::move(instance)).first->second.controller.start(now, out);
}

void GatewayInstances::update_hosts(const EventRecord& event, Instance& instance, Ms now,
                                    ActionSink& out) const {
  const auto update = event.host_list_update();
  if (update.kind == HostListUpdate::kFailed) {
    instance.controller.on_host_list(now, update.kind, {}, out);
    return;
  }
  const auto list = host_lists_.find(update.list_number);
  if (list == host_lists_.end()) {
    throw WireError("host list update", "unknown list number",
                    "send the list before an update that refers to it");
  }
  instance.controller.on_host_list(now, update.kind, list->second, out);
}

}  // namespace cometfold::wire
