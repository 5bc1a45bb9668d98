#pragma once

#include <memory>

namespace citrongrade {

struct HttpAddress;
struct RunReport;

// Tells a collector of each run before it begins, so that a target that is
// killed leaves no run unknown. Thread-safe.
class RunReporter {
 public:
  explicit RunReporter(const HttpAddress& collector);
  ~RunReporter();

  // Blocks until the collector has it. Throws HttpError.
  void Report(const RunReport& report);

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
