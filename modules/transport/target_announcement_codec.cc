#include "modules/transport/target_announcement_codec.h"

#include <nlohmann/json.hpp>
#include <string>

#include "modules/transport/http_address.h"
#include "modules/transport/http_errors.h"

namespace citrongrade {

namespace {

// Far above any target; keeps a mistyped number from making thousands of
// threads.
constexpr std::uint32_t kMaxConnections = 4096;

TargetAnnouncement::State ReadState(const std::string& name) {
  if (name == "starting")
    return TargetAnnouncement::State::kStarting;
  if (name == "serving")
    return TargetAnnouncement::State::kServing;
  if (name == "draining")
    return TargetAnnouncement::State::kDraining;
  throw InvalidAnnouncementError("state: not starting, serving or draining");
}

std::uint32_t ReadCount(const nlohmann::json& json, const char* field) {
  const auto count = json.at(field).get<std::int64_t>();
  if (count < 1 || count > kMaxConnections) {
    throw InvalidAnnouncementError(std::string(field) + ": not from 1 to " +
                                   std::to_string(kMaxConnections));
  }
  return static_cast<std::uint32_t>(count);
}

}  // namespace

TargetAnnouncement TargetAnnouncementCodec::Decode(std::string_view text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    TargetAnnouncement announcement;
    announcement.service = {
        WorkspaceName(json.at("workspace").get<std::string>()),
        ServiceName(json.at("service").get<std::string>())};
    announcement.address =
        HttpAddress::Parse(json.at("address").get<std::string>()).ToString();
    announcement.concurrency = ReadCount(json, "slots");
    announcement.connections = ReadCount(json, "connections");
    announcement.checks_grants = json.at("checks_grants").get<bool>();
    announcement.state = ReadState(json.at("state").get<std::string>());
    return announcement;
  } catch (const nlohmann::json::exception& error) {
    throw InvalidAnnouncementError(error.what());
  } catch (const InvalidHttpAddressError& error) {
    throw InvalidAnnouncementError(std::string("address: ") + error.what());
  }
}

std::string_view ToString(TargetAnnouncement::State state) {
  switch (state) {
    case TargetAnnouncement::State::kStarting:
      return "starting";
    case TargetAnnouncement::State::kServing:
      return "serving";
    case TargetAnnouncement::State::kDraining:
      return "draining";
  }
  return "unknown";
}

}  // namespace citrongrade
