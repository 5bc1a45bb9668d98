#pragma once

#include <cstddef>
#include <cstdint>

#include "benchmarks/load_policy_mesh.h"

namespace citrongrade {

// The simpler policy: a static hash says where, first come first served, no
// limit, no word to the target when its caller has gone.
class LoadPolicyBaselineMesh final : public LoadPolicyMesh {
 public:
  using LoadPolicyMesh::LoadPolicyMesh;

  void Send(const LoadPolicyRequest& request) override {
    const std::size_t index = KeySlotOf(request.facts.key) % target_count();
    target(index).Run(request, [this, request](Clock::Duration) {
      listener().OnDone(request);
    });
  }

  // A static hash over the targets of now: most keys change their target.
  void Join() override {
    AddTargetSlots();
    const std::size_t targets = target_count();
    for (std::size_t slot = 0; slot < scenario().key_slots; ++slot) {
      m_moves += slot % (targets - 1) == slot % targets ? 0 : 1;
    }
    target(target_count() - 1).MakeCold(kColdFactor, kColdRuns);
  }

  // It listens to no reports.
  void MakeLie(std::size_t) override {}

  std::uint64_t moves() const override {
    return scenario().divided_by_key ? m_moves : 0;
  }

  static constexpr double kColdFactor = 8;
  static constexpr std::size_t kColdRuns = 2000;

 private:
  std::uint64_t m_moves = 0;
};

}  // namespace citrongrade
