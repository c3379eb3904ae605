// The real program in a process of its own, and scripted peers for it on loopback.
#pragma once

#include <gtest/gtest.h>

#include "peer.h"
#include "program.h"
#include "words.h"

namespace thistlepond::net::testing {

using namespace stand_ins;

class Program : public stand_ins::Program {
 public:
  explicit Program(const boost::json::object& conf, std::vector<std::string> environment = {})
      : stand_ins::Program(COMETFOLD_PROGRAM, conf, {}, std::move(environment)) {}
  Program(const boost::json::object& conf, std::vector<std::string> arguments,
          std::vector<std::string> environment)
      : stand_ins::Program(COMETFOLD_PROGRAM, conf, std::move(arguments), std::move(environment)) {}
};

}  // namespace thistlepond::net::testing
