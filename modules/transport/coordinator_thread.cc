#include "modules/transport/coordinator_thread.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <future>
#include <random>
#include <string_view>
#include <utility>

#include "modules/coordination/board_view.h"
#include "modules/coordination/ownership_board.h"
#include "modules/transport/thread_name.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kTick{10};
constexpr std::size_t kRing = 16'384;

std::string_view ToString(MembershipLoss reason) {
  switch (reason) {
    case MembershipLoss::kSuperseded:
      return "superseded";
    case MembershipLoss::kTakenOver:
      return "taken-over";
    case MembershipLoss::kLeft:
      return "left";
  }
  return "unknown";
}

std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

}  // namespace

class CoordinatorThread::MembershipListener final
    : public NodeCoordinator::Listener {
 public:
  explicit MembershipListener(std::optional<MembershipLoss>& loss)
      : m_loss(loss) {}

  void OnMembershipLost(MembershipLoss reason) override { m_loss = reason; }
  void OnConfigChanged() override { spdlog::info("event=config-changed"); }

 private:
  std::optional<MembershipLoss>& m_loss;
};

CoordinatorThread::CoordinatorThread(const Dependencies& dependencies,
                                     const CoordinatorSettings& settings)
    : m_dependencies(dependencies),
      m_settings(settings),
      m_ring(kRing),
      m_listener(std::make_unique<MembershipListener>(m_loss)) {
  m_dependencies.board.SetWakeUp([this] { m_ring.TryPush([] {}); });
  m_thread = std::thread([this] { Main(); });
}

CoordinatorThread::~CoordinatorThread() {
  m_ring.Close();
  m_thread.join();
}

void CoordinatorThread::Join(const JoinRecord& announcement) {
  if (m_is_member)
    return;
  m_ring.Push([this, announcement] { BeginMembership(announcement); });
}

void CoordinatorThread::Leave() {
  m_ring.Push([this] {
    if (m_coordinator)
      m_coordinator->RequestDrain();
  });
}

void CoordinatorThread::Deliver(const PeerMessage& message) {
  m_ring.TryPush([this, message] {
    if (m_coordinator)
      m_coordinator->OnPeerMessage(message);
  });
}

void CoordinatorThread::OnAppendFailed(const RecordId& id) {
  // The writer may call on this thread, from within the coordinator.
  m_ring.TryPush([this, id] {
    if (m_coordinator)
      m_coordinator->OnAppendFailed(id);
  });
}

std::optional<CoordinatorDump> CoordinatorThread::Dump() {
  std::optional<CoordinatorDump> dump;
  RunAndWait(
      [&dump](NodeCoordinator& coordinator) { dump = coordinator.Dump(); });
  return dump;
}

LogOffset CoordinatorThread::NextReadOffset() {
  return LogOffset(m_next_offset);
}

bool CoordinatorThread::WantsLogEnd() {
  return m_wants_log_end;
}

void CoordinatorThread::OnLogEnd(LogOffset next_offset) {
  RunAndWait([this, next_offset](NodeCoordinator& coordinator) {
    coordinator.OnLogEnd(next_offset);
    m_wants_log_end = false;
  });
}

void CoordinatorThread::OnLogEntries(std::vector<LogEntry> entries) {
  RunAndWait([&entries](NodeCoordinator& coordinator) {
    coordinator.OnLogEntries(entries);
  });
}

void CoordinatorThread::OnLogGap(LogOffset first_kept) {
  RunAndWait([first_kept](NodeCoordinator& coordinator) {
    coordinator.OnLogGap(first_kept);
  });
}

void CoordinatorThread::OnLogUnavailable() {
  RunAndWait(
      [](NodeCoordinator& coordinator) { coordinator.OnLogUnavailable(); });
}

void CoordinatorThread::Main() {
  NameThread("coordinator");
  while (!m_ring.is_closed()) {
    auto input = m_ring.PopWithin(kTick);
    while (input) {
      (*input)();
      input = m_ring.TryPop();
    }
    if (m_coordinator)
      m_coordinator->Tick();
    PublishPosition();
  }
  // Others may wait for what came in meanwhile.
  while (auto input = m_ring.TryPop())
    (*input)();
}

void CoordinatorThread::PublishPosition() {
  if (m_loss)
    EndMembership(*m_loss);
  if (m_coordinator)
    m_next_offset = m_coordinator->NextReadOffset().value();
}

void CoordinatorThread::BeginMembership(const JoinRecord& announcement) {
  if (m_coordinator || m_is_superseded)
    return;
  spdlog::info("event=membership-begins node={} service={}",
               announcement.node.value(), announcement.service.ToString());
  m_announcement = announcement;
  const NodeCoordinator::Dependencies dependencies{
      m_dependencies.clock,
      m_dependencies.log_writer,
      m_dependencies.peer_sender,
      m_dependencies.config_validator,
      m_dependencies.settings_resolver,
      m_dependencies.snapshot_codec,
      m_dependencies.board,
      *m_listener};
  m_coordinator = std::make_unique<NodeCoordinator>(dependencies, announcement,
                                                    m_settings, RandomSeed());
  m_next_offset = m_coordinator->NextReadOffset().value();
  m_wants_log_end = true;
  m_is_member = true;
}

void CoordinatorThread::EndMembership(MembershipLoss reason) {
  spdlog::warn("event=membership-ended reason={}", ToString(reason));
  m_loss.reset();
  m_coordinator.reset();
  m_is_member = false;
  if (reason == MembershipLoss::kSuperseded)
    m_is_superseded = true;
  if (reason == MembershipLoss::kTakenOver)
    BeginMembership(m_announcement);
}

void CoordinatorThread::RunAndWait(const Input& input) {
  std::promise<void> done;
  const bool pushed = m_ring.Push([this, &input, &done] {
    if (m_coordinator)
      input(*m_coordinator);
    PublishPosition();
    done.set_value();
  });
  if (pushed)
    done.get_future().wait();
}

}  // namespace citrongrade
