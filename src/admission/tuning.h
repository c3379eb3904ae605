// The figures that decisions turn on, and helpers for numbers. All of them are this project's own choices.
#pragma once

#include <algorithm>
#include <cmath>
#include <limits>

#include "cometfold/admission_controller.h"

namespace cometfold::detail {

inline constexpr Ms kTickMs = 100;           // the design's period of lending
inline constexpr Ms kIdleMs = 60'000;        // the design's time to drop an idle customer
inline constexpr double kForgotten = 0.05;   // units of demand remembered: less is none
inline constexpr Ms kGoneMemoryMs = 10'000;  // of a host that has left: attempts may be bound to its group
inline constexpr Ms kSameStartMs = 1000;     // two processes read a host's start so far apart at most
inline constexpr Ms kNoTime = std::numeric_limits<Ms>::infinity();
inline constexpr double kTokenDust = 1e-9;  // units; forgives rounding of the refill
inline constexpr Ms kShareMemoryMs = 1000;  // arrivals are remembered so long for lending
inline constexpr double kLeastAtHost = 4;   // attempts from all gateways that keep a small host's cores busy
inline constexpr double kFirstAtHost = 16;  // before a warm host has answered anything
inline constexpr double kProvenBy = 4;      // completions that measure a rate
inline constexpr double kWaitShare = 0.3;   // of the aim: mean latency that a bound on attempts out aims for
inline constexpr double kCalmTimes = 3.5;   // or so many times what requests take while nothing queues
inline constexpr double kMostWaitShare = 0.5;  // but never more of the aim
inline constexpr Ms kCalmMemoryMs = 60'000;    // longer than a rush or a slowdown
inline constexpr double kCalmSamples = 40;     // completions that make a mean
inline constexpr double kShedFrom = 0.5;       // of all limits in use: from here on the least worth is shed
inline constexpr double kThinShedFrom = 0.2;   // in a large fleet
inline constexpr double kBindFrom = 0.18;      // of the aim: mean latency from which on slices bind
inline constexpr Ms kLoadMemoryMs = 300;       // a few requests' chance clusters are no pressure;
inline constexpr double kLoadSamples = 10;  // where requests are rare, so many of them: fewer are all chance
inline constexpr double kMostShed = 0.85;   // the rest keeps the signals coming
inline constexpr double kPressedShare = 0.5;   // of the aim as mean latency: the back end is pressed
inline constexpr Ms kReportMemoryMs = 4000;    // queues change faster, but slow hosts stay slow for longer
inline constexpr double kProbesPerSend = 0.5;  // a few known hosts to choose from at any time
inline constexpr double kOutcomeGain = 0.1;    // weight of one outcome in the means kept of hosts and classes
inline constexpr double kFailCost = 8;         // a host that fails all looks so many times slower
inline constexpr Ms kFailMemoryMs = 4000;  // a bad record halves in it, so that a mended host is tried again
inline constexpr double kFullGain = 0.5;   // two in a row are no chance
inline constexpr Ms kFullMemoryMs = 10'000;  // a limit on one plan lasts, and tells less often
inline constexpr double kEjectAt = 0.6;      // part of recent attempts failed: outlier ejection
inline constexpr double kMostEjected = 0.5;  // of the hosts; if more look bad, the cause is elsewhere
inline constexpr Ms kFirstEjectMs = 1000;    // doubled each time, up to
inline constexpr Ms kLongestEjectMs = 8000;
inline constexpr double kOtherZone = 1.15;     // prefer near hosts when all else is even
inline constexpr double kMetShare = 7 / 15.0;  // of a connection's idle limit: it lives so long without use
inline constexpr double kStranger = 1.3;       // cost of a host not met for so long, in large fleets
inline constexpr double kPatience = 8.0;  // further attempt when one takes so many times what its class takes
inline constexpr double kPatienceAim = 0.6;  // and at least this part of the aim
inline constexpr double kOverdueAfter = 2;   // class times without an answer, while later sends were answered
inline constexpr double kBadAfter = 6;       // and such times of its host: a failure
inline constexpr double kBudgetEarned = 0.1;   // further attempts earned by each first send (retry budget)
inline constexpr double kBudgetMost = 10;      // and the most that can be saved up
inline constexpr double kColdShare = 0.6;      // of what a cold host bears: the rest is for error and chance
inline constexpr double kDemandRequests = 8;   // that a slice lets expect in the memory of demand
inline constexpr Ms kDemandMemoryMs = 1500;    // and at least so long: less than a customer's moves take
inline constexpr double kPriorRequests = 0.4;  // seen of a usual customer before any is
inline constexpr double kUsualUse = 1.25;    // slices asked for by the customer of a request drawn at random
inline constexpr double kRareSkew = 1.5;     // slices, of two: as likely a heavy customer as one that crowds
inline constexpr double kMoreSkew = 0.3;     // and so many more for each further slice of the set
inline constexpr double kMostSkewed = 4;     // gateways: beyond, crowding one of them grows no further
inline constexpr double kStays = 0.37;       // of the clients that ask again: at the same gateway
inline constexpr double kAgainTimes = 1.5;   // of the longest retry-after: they do so within it
inline constexpr double kAgainPrior = 0.3;   // part of the refused that ask again, before any was seen,
inline constexpr double kAgainSamples = 6;   // as if of so many
inline constexpr double kLeastLetOn = 0.35;  // of what finds a full slice in a large set
inline constexpr double kAgainDearer = 2;    // an overrun costs so many times more where all ask again
inline constexpr double kThinSet = 8;        // gateways: from here on a slice tells little of its customer;
inline constexpr double kCrowdSkew = 4;      // and so many more slices for crowding,
inline constexpr double kCrowdRequests = 3;  // half of them where so many requests are to be expected
inline constexpr Ms kCrowdMs = 15'000;       // by then others are crowded
inline constexpr std::size_t kRankSamples = 512;  // requests that worth is ranked among
inline constexpr Ms kDoneMemoryMs = 1500;         // completions of hosts: short, as a stall must show
inline constexpr double kHopelessShare = 0.9;  // of the aim: a further attempt later than this earns nothing
inline constexpr Ms kAskAgainMs = 1000;        // pause after a failed call to the list's service
inline constexpr Ms kNotePauseMs = 5000;       // the same remark at most this often
inline constexpr std::uint64_t kTickToken = ~std::uint64_t{0};
inline constexpr std::uint64_t kListToken = kTickToken - 1;

inline double finite(double v, double otherwise, double least = 0) {
  return std::isfinite(v) && v >= least ? v : otherwise;
}

// Keeps `share` of an old mean after `dt`, for a memory of `span`.
inline double faded(Ms dt, Ms span) { return std::exp(-std::max(dt, 0.0) / span); }

inline constexpr double kKeptShare = 0.2;  // of each level, when another takes over: for what still comes

}  // namespace cometfold::detail
