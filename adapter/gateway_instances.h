// The gateways that the simulator runs in this process, each with its own decision module.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "adapter/action_encoder.h"
#include "adapter/event_decoder.h"

namespace cometfold::wire {

// Instances share nothing but the numbered host lists.
class GatewayInstances {
 public:
  // Dispatches the events of one batch to the instances and returns the reply. Throws WireError if the batch
  // is malformed; events before the malformed one have been handled by then.
  std::string handle_batch(Bytes frame);

 private:
  struct Instance {
    AdmissionController controller;
    std::vector<LoadField> load_fields;  // of its load reports, in their order on the wire
  };

  void handle_event(const EventRecord& event, std::uint32_t id, Ms now, ActionEncoder& encoder);
  void start_instance(const EventRecord& event, std::uint32_t id, Ms now, ActionSink& out);
  void update_hosts(const EventRecord& event, Instance& instance, Ms now, ActionSink& out) const;

  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint16_t, std::vector<HostEntry>> host_lists_;  // by number
};

}  // namespace cometfold::wire
