#include "modules/protocol/crash_suspects_codec.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

#include "modules/protocol/malformed_message_error.h"

namespace citrongrade {

void WriteCrashSuspects(const std::vector<CrashSuspect>& suspects,
                        rpc::CrashSuspects::Builder out) {
  std::map<std::uint64_t, std::uint16_t> places;
  unsigned entries = 0;
  for (const CrashSuspect& suspect : suspects) {
    entries += static_cast<unsigned>(suspect.crashes.size());
    for (const CrashSuspect::Crash& crash : suspect.crashes)
      places.try_emplace(crash.id, static_cast<std::uint16_t>(places.size()));
  }
  auto ids = out.initCrashIds(static_cast<unsigned>(places.size()));
  for (const auto& [id, place] : places)
    ids.set(place, id);
  const auto count = static_cast<unsigned>(suspects.size());
  auto fingerprint = out.initFingerprint(count);
  auto age = out.initAgeS(count);
  auto crash_count = out.initCrashCount(count);
  auto crash = out.initCrash(entries);
  auto is_cleared = out.initIsCleared(entries);
  unsigned next = 0;
  for (unsigned i = 0; i < count; ++i) {
    fingerprint.set(i, suspects[i].fingerprint);
    age.set(i, static_cast<std::uint32_t>(suspects[i].age.count()));
    crash_count.set(i, static_cast<std::uint8_t>(suspects[i].crashes.size()));
    for (const CrashSuspect::Crash& one : suspects[i].crashes) {
      crash.set(next, places.at(one.id));
      is_cleared.set(next++, one.is_cleared);
    }
  }
}

std::vector<CrashSuspect> ReadCrashSuspects(rpc::CrashSuspects::Reader in) {
  const auto ids = in.getCrashIds();
  const auto fingerprint = in.getFingerprint();
  const auto age = in.getAgeS();
  const auto crash_count = in.getCrashCount();
  const auto crash = in.getCrash();
  const auto is_cleared = in.getIsCleared();
  if (age.size() != fingerprint.size() ||
      crash_count.size() != fingerprint.size() ||
      is_cleared.size() != crash.size())
    throw MalformedMessageError("crash suspects of different lengths");
  std::vector<CrashSuspect> suspects;
  suspects.reserve(fingerprint.size());
  unsigned next = 0;
  for (unsigned i = 0; i < fingerprint.size(); ++i) {
    CrashSuspect suspect;
    suspect.fingerprint = fingerprint[i];
    suspect.age = std::chrono::seconds(age[i]);
    for (unsigned k = 0; k < crash_count[i]; ++k, ++next) {
      if (next >= crash.size() || crash[next] >= ids.size())
        throw MalformedMessageError("crash suspects that break off");
      suspect.crashes.push_back({ids[crash[next]], is_cleared[next]});
    }
    std::sort(suspect.crashes.begin(), suspect.crashes.end());
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

}  // namespace citrongrade
