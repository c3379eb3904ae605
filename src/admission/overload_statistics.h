// Rates at which hosts reject attempts as overloaded, by plan and by class.
#pragma once

#include <vector>

#include "admission/host_table.h"

namespace cometfold::admission {

// A host with free capacity may reject a single plan or class. Therefore the rejection rate of a host for a
// request is the lower one of its plan and its class, and that of the fleet leaves out the plan or class with
// the most rejections. All referenced objects must outlive this one.
class OverloadStatistics {
 public:
  // The fleet is overloaded above this rejection fraction.
  static constexpr double kOverloadedFraction = 0.1;

  OverloadStatistics(const AdmissionSettings& settings, HostTable& hosts)
      : settings_(settings), hosts_(hosts) {}

  // Resets all counts if the number of plans or classes has changed.
  void on_settings_changed();

  // Records whether the host rejected an attempt of this request.
  void record(Host& host, const Request& request, bool rejected, Ms now);

  // Recent rejection rate of the host for requests of this plan and class, in [0, 1].
  double rejection_rate(const Host& host, const Request& request) const {
    if (host.rejection_rates.empty()) return 0;
    return std::min(host.rejection_rates[request.plan_index],
                    host.rejection_rates[class_slot(request.class_index)]);
  }
  // Fraction of recent attempts at all hosts that were rejected, in [0, 1].
  double fleet_rejection_fraction() const;

 private:
  struct Counts {
    double rejected = 0;
    double total = 0;
  };

  std::size_t class_slot(std::uint32_t class_index) const { return settings_.plans.size() + class_index; }
  double fraction_without_worst(std::size_t from, std::size_t to) const;

  const AdmissionSettings& settings_;
  HostTable& hosts_;
  std::vector<Counts> counts_;  // by plan, then by class
};

}  // namespace cometfold::admission
