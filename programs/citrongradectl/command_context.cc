#include "programs/citrongradectl/command_context.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <thread>
#include <utility>

#include "modules/coordination/log_errors.h"
#include "modules/coordination/steady_clock.h"
#include "modules/protocol/record_id_generator.h"
#include "modules/state/mesh_state.h"
#include "modules/state/size_limits.h"
#include "modules/transport/http_address.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/http_platform_log.h"
#include "modules/transport/json_log_record_codec.h"
#include "programs/citrongradectl/ctl_errors.h"
#include "programs/citrongradectl/in_force_waiter.h"
#include "programs/citrongradectl/mesh_reader.h"
#include "programs/citrongradectl/node_client.h"
#include "programs/citrongradectl/record_writer.h"
#include "programs/citrongradectl/text_table.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

constexpr std::chrono::milliseconds kLogTimeout{3'000};
constexpr std::chrono::milliseconds kNodeTimeout{2'000};
constexpr std::chrono::milliseconds kPauseBetweenReads{200};

void Sleep(std::chrono::milliseconds duration) {
  std::this_thread::sleep_for(duration);
}

void AskNode(NodeProgress& node) {
  try {
    node.next_offset =
        NodeClient(node.control_address, kNodeTimeout).NextOffset();
    node.error.clear();
  } catch (const NodeUnreachableError& error) {
    node.error = error.what();
  }
}

ordered_json ToJson(const NodeProgress& node, LogOffset offset) {
  return {{"node", node.node.value()},
          {"control_address", node.control_address},
          {"next_offset", node.next_offset.value()},
          {"in_force", node.HasApplied(offset)},
          {"error", node.error}};
}

}  // namespace

class CommandContext::Implementation {
 public:
  explicit Implementation(const CtlSettings& settings)
      : m_log(HttpAddress::Parse(settings.log_address),
              settings.log_stream,
              std::make_shared<JsonLogRecordCodec>(),
              kLogTimeout),
        m_reader(m_log) {}

  MeshReader& reader() { return m_reader; }
  const Clock& clock() const { return m_clock; }

  WriteResult Write(const Record& record, std::chrono::milliseconds timeout) {
    RecordWriter writer(m_log, m_reader, m_clock, m_ids, Sleep);
    return writer.Write(record, timeout);
  }

 private:
  SteadyClock m_clock;
  RecordIdGenerator m_ids;
  HttpPlatformLog m_log;
  MeshReader m_reader;
};

CommandContext::CommandContext(CtlSettings settings, std::ostream& out)
    : m_settings(std::move(settings)), m_out(out) {}

CommandContext::~CommandContext() = default;

void CommandContext::PrintJson(const ordered_json& value) const {
  constexpr int kIndent = 2;
  m_out << value.dump(kIndent) << '\n';
}

void CommandContext::CheckSettings(bool needs_log, bool needs_operator) const {
  std::string mistakes;
  const auto add = [&mistakes](const std::string& mistake) {
    mistakes += (mistakes.empty() ? "" : "; ") + mistake;
  };
  if (needs_log && m_settings.log_address.empty()) {
    add("--log-address (CITRONGRADE_LOG_ADDRESS) has to name the log");
  } else if (needs_log) {
    try {
      HttpAddress::Parse(m_settings.log_address);
    } catch (const InvalidHttpAddressError& error) {
      add(std::string("--log-address: ") + error.what());
    }
  }
  if (needs_log && m_settings.log_stream.empty()) {
    add("--log-stream (CITRONGRADE_LOG_STREAM) must not be empty");
  }
  if (needs_operator && m_settings.operator_name.empty()) {
    add("--operator (CITRONGRADE_OPERATOR) has to say who makes the change");
  }
  if (m_settings.operator_name.size() > SizeLimits::kMaxNameBytes) {
    add("--operator is longer than " +
        std::to_string(SizeLimits::kMaxNameBytes) + " bytes");
  }
  if (!mistakes.empty()) {
    throw UsageError(mistakes);
  }
}

CommandContext::Implementation& CommandContext::Open() {
  if (m_implementation == nullptr) {
    m_implementation = std::make_unique<Implementation>(m_settings);
  }
  return *m_implementation;
}

MeshReader& CommandContext::ReadLog() {
  Implementation& open = Open();
  const Clock::TimePoint deadline = open.clock().Now() + m_settings.timeout;
  while (true) {
    try {
      open.reader().CatchUp();
      return open.reader();
    } catch (const LogUnavailableError&) {
      if (open.clock().Now() >= deadline) {
        throw;
      }
    }
    Sleep(kPauseBetweenReads);
  }
}

const MeshState& CommandContext::LastState() {
  return Open().reader().state();
}

WriteResult CommandContext::Write(const Record& record) {
  return Open().Write(record, m_settings.timeout);
}

bool CommandContext::WaitInForce(LogOffset offset) {
  std::vector<NodeProgress> nodes;
  for (const Member* member : ReadLog().state().CurrentMembers()) {
    nodes.push_back({member->id.node, member->announcement.control_address,
                     LogOffset(), ""});
  }
  InForceWaiter waiter(Open().clock(), AskNode, Sleep);
  nodes = waiter.Wait(std::move(nodes), offset, m_settings.timeout);
  TextTable lagging({"lagging node", "control address", "next offset", "why"});
  ordered_json list = ordered_json::array();
  for (const NodeProgress& node : nodes) {
    list.push_back(ToJson(node, offset));
    if (!node.HasApplied(offset)) {
      lagging.AddRow({node.node.value(), node.control_address,
                      std::to_string(node.next_offset.value()),
                      node.error.empty() ? "has not read so far" : node.error});
    }
  }
  if (m_settings.json) {
    PrintJson({{"offset", offset.value()},
               {"in_force_everywhere", lagging.empty()},
               {"nodes", list}});
  } else if (lagging.empty()) {
    m_out << "in force on all " << nodes.size() << " nodes (offset "
          << offset.value() << ")\n";
  } else {
    lagging.Print(m_out);
  }
  return lagging.empty();
}

}  // namespace citrongrade
