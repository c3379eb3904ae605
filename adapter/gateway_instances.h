// The gateways that the simulator plays in this process, each with its decision module.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "adapter/action_encoder.h"
#include "adapter/event_decoder.h"

namespace cometfold::wire {

// The instances share nothing but the numbered host lists of the wire.
class GatewayInstances {
 public:
  // Passes the events of one batch on to the instances and returns the reply. Throws WireError if the batch
  // cannot be read; events before the fault have been passed on then.
  std::string handle_batch(Bytes frame);

 private:
  struct Instance {
    AdmissionController controller;
    std::vector<LoadField> load_fields;  // of the load reports, in their order
  };

  void handle_event(const EventRecord& event, std::uint32_t id, Ms now, ActionEncoder& encoder);
  void start_instance(const EventRecord& event, std::uint32_t id, Ms now, ActionSink& out);
  void update_hosts(const EventRecord& event, Instance& instance, Ms now, ActionSink& out) const;

  std::map<std::uint32_t, Instance> instances_;
  std::map<std::uint16_t, std::vector<HostEntry>> host_lists_;  // by their numbers
};

}  // namespace cometfold::wire
