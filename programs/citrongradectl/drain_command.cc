#include "programs/citrongradectl/drain_command.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <ostream>
#include <thread>

#include "modules/coordination/steady_clock.h"
#include "modules/state/mesh_state.h"
#include "programs/citrongradectl/command_context.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/node_client.h"
#include "programs/citrongradectl/node_finder.h"

namespace citrongrade {

namespace {

constexpr std::chrono::milliseconds kNodeTimeout{3'000};
constexpr std::chrono::milliseconds kPauseBetweenReads{200};

}  // namespace

const char* DrainCommand::Name() const {
  return "drain";
}

const char* DrainCommand::Description() const {
  return "have a node hand over its slots, finish its work and exit";
}

const char* DrainCommand::Examples() const {
  return "Example:\n  citrongradectl drain recife-derby-1 --wait --timeout-ms "
         "60000";
}

void DrainCommand::AddOptions(CLI::App& app) {
  app.add_option("node", m_node, "a member's name")->required();
  app.add_flag("--wait", m_wait, "wait until it has left");
}

ExitCode DrainCommand::Run(CommandContext& context) {
  const Member member = NodeFinder::Find(context.ReadLog().state(), m_node);
  NodeClient(member.announcement.control_address, kNodeTimeout).Drain();
  context.out() << m_node << " drains\n";
  return m_wait ? WaitUntilGone(context, member.id) : ExitCode::kOk;
}

ExitCode DrainCommand::WaitUntilGone(CommandContext& context,
                                     const MemberId& member) {
  const SteadyClock clock;
  const Clock::TimePoint deadline = clock.Now() + context.settings().timeout;
  while (context.ReadLog().state().FindMember(member) != nullptr) {
    if (clock.Now() >= deadline) {
      context.out() << m_node << " has not left in time; dump it to see what "
                    << "it waits for\n";
      return ExitCode::kLagging;
    }
    std::this_thread::sleep_for(kPauseBetweenReads);
  }
  context.out() << m_node << " has left\n";
  return ExitCode::kOk;
}

}  // namespace citrongrade
