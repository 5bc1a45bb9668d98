#pragma once

#include "modules/transport/http_handler.h"

namespace citrongrade {

class RunLedger;

// Takes the targets' reports, POST /v1/runs, into a ledger. A target begins a
// run only after the answer, so that one which is killed hides no run.
class RunCollector final : public HttpHandler {
 public:
  explicit RunCollector(RunLedger& ledger) : m_ledger(ledger) {}

  void Handle(HttpExchange& exchange) override;

 private:
  RunLedger& m_ledger;
};

}  // namespace citrongrade
