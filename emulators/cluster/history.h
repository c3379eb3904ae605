// What happened in a run, one JSON object a line: who started and ended, which faults were made, what each
// process showed of the others, what clients and hosts saw. `t` counts milliseconds from the start.
//
//   {"t","what":"schedule","text","name","seed"}       first of all
//   {"t","what":"settings","config"}                   the gateways' configuration, as the rules are judged
//   by it
//   {"t","what":"start"|"end","gateway","process"}     a process; two of one name differ in `process`;
//   `killed`
//   {"t","what":"stop"|"continue","gateway","process"}
//   {"t","what":"fault","do","who"}                    any step of the schedule
//   {"t","what":"view","gateway","process","start","standing","conflict","members":[[name,start,state]...]}
//   {"t","what":"load","gateway","process","figures":{...}}   at the end
//   {"t","what":"taken","gateway","request","class","customer","expires"}
//   {"t","what":"served"|"refused"|"failed"|"gone","gateway","request","value"}
//   {"t","what":"came"|"never-ran"|"made"|"over","host","connection","request","value"}
//   {"t","what":"told","host","state"}                 discovery's word, to all
//   {"t","what":"finished"}                            last of all
#pragma once

#include <boost/json.hpp>
#include <functional>
#include <string>
#include <vector>

#include "emulators/cluster/schedule.h"

namespace cometfold::emulators::cluster {

using Line = boost::json::object;

// Plays the schedule with `program` as the gateway, and gives each line to `write`. Logs of the gateways go
// into files of `logs`, if that names a folder. Throws if the gateways can't be started.
void play(const Schedule& schedule, const std::string& program, const std::string& logs,
          const std::function<void(const Line&)>& write);

struct Verdict {
  std::vector<std::string> violations;  // none: all properties hold
  // Figures, in milliseconds; less than 0: not seen.
  double converged_after = -1;  // the last fault
  std::vector<double> crash_detected_first,
      crash_detected_all;  // of each kill, if nobody came back meanwhile
  std::size_t false_failures =
      0;  // (observer, start number) pairs of processes that ran and were not stopped
  std::size_t false_suspicions = 0;
  double longest_suspicion = 0;
  std::size_t sent = 0, served = 0, refused = 0, failed = 0, disconnected = 0;
};

// Judges a history: the five rules, and what membership promises. Throws std::runtime_error if it is none.
Verdict check(const std::vector<Line>& history);

std::vector<Line> read_history(const std::string& path);

}  // namespace cometfold::emulators::cluster
