#pragma once

#include <memory>

namespace citrongrade {

class FreezeGate;
class TargetService;
struct HttpAddress;
struct TargetSettings;

// A thread that tells the target's node, at each interval and on every change
// of state, that the target is there. Failures are only logged: the node may
// come later, or be replaced.
class Announcer {
 public:
  // All must outlive the announcer. `address`: where the target serves.
  Announcer(const TargetSettings& settings,
            const HttpAddress& address,
            const TargetService& service,
            FreezeGate& freeze_gate);
  ~Announcer();

  // Announces now, and waits for that attempt.
  void AnnounceNow();

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
