// The history of a run, one JSON object per line: processes that started and ended, injected faults, each
// process's view of the members, and the requests as clients and hosts saw them. `t` is the time since the
// start of the run in ms.
//
//   {"t","what":"schedule","text","name","seed"}       the first line
//   {"t","what":"settings","config"}                   the gateways' configuration, against which the rules
//                                                      are checked
//   {"t","what":"start"|"end","gateway","process"}     `process` tells two processes of one name apart; an
//                                                      end by SIGKILL has `killed`
//   {"t","what":"stop"|"continue","gateway","process"}
//   {"t","what":"fault","do","who"}                    any step of the schedule
//   {"t","what":"view","gateway","process","start","standing","conflict","members":[[name,start,state]...]}
//   {"t","what":"load","gateway","process","figures":{...}}   at the end
//   {"t","what":"taken","gateway","request","class","customer","expires"}
//   {"t","what":"served"|"refused"|"failed"|"gone","gateway","request","value"}
//   {"t","what":"came"|"never-ran"|"made"|"over","host","connection","request","value"}
//   {"t","what":"told","host","state"}                 a host state that discovery sends to all gateways
//   {"t","what":"finished"}                            the last line
#pragma once

#include <boost/json.hpp>
#include <functional>
#include <string>
#include <vector>

#include "emulators/cluster/schedule.h"

namespace cometfold::emulators::cluster {

using Line = boost::json::object;

// Runs the schedule with `program` as the gateway and passes each line of the history to `write`. If `logs`
// isn't empty, the gateways' logs are written to files in that directory. Throws if the gateways can't be
// started.
void play(const Schedule& schedule, const std::string& program, const std::string& logs,
          const std::function<void(const Line&)>& write);

struct Verdict {
  std::vector<std::string> violations;  // empty if all properties hold
  // Measurements in ms; negative if not observed.
  double converged_after = -1;  // time from the last fault to the last convergence of all views
  // Per ended process whose gateway did not start again: time until the first and until the last observer
  // showed it as failed.
  std::vector<double> crash_detected_first, crash_detected_all;
  // (observer, incarnation) pairs shown as failed though the process ran and was not stopped.
  std::size_t false_failures = 0;
  std::size_t false_suspicions = 0;
  double longest_suspicion = 0;
  std::size_t sent = 0, served = 0, refused = 0, failed = 0, disconnected = 0;
};

// Checks a history against the five rules and the guarantees of the membership. Throws std::runtime_error if
// the lines aren't a history.
Verdict check(const std::vector<Line>& history);

std::vector<Line> read_history(const std::string& path);

}  // namespace cometfold::emulators::cluster
