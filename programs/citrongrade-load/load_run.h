#pragma once

#include <memory>

#include "programs/citrongrade-load/load_report.h"

namespace citrongrade {

struct LoadSettings;

// Plays the calls of a plan and judges what came of them. One thread feeds the
// queue of due calls, many send; a call that is to be sent again goes back into
// the queue.
class LoadRun {
 public:
  // Throws AddressInUseError where the collector can't listen.
  explicit LoadRun(const LoadSettings& settings);
  ~LoadRun();

  // Blocks until every call is over. Called once.
  LoadReport Play();

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
