#include "modules/coordination/id_registrar.h"

#include <algorithm>
#include <functional>

namespace citrongrade {

IdRegistrar::IdRegistrar(const CoordinatorSettings& settings,
                         const ServiceId& service,
                         ContentsSource contents)
    : m_settings(settings),
      m_service(service),
      m_contents(std::move(contents)) {}

void IdRegistrar::SetWitnessSets(const WitnessSet& confirmed,
                                 const std::optional<WitnessSet>& pending) {
  const WitnessSetVersion pending_version =
      pending.has_value() ? pending->version : WitnessSetVersion();
  if (confirmed.version == m_confirmed_version &&
      pending_version == m_pending_version) {
    return;
  }
  m_confirmed_version = confirmed.version;
  m_pending_version = pending_version;
  std::set<MemberId> wanted;
  for (const Witness& witness : confirmed.witnesses) {
    wanted.insert(witness.member);
  }
  if (pending.has_value()) {
    for (const Witness& witness : pending->witnesses) {
      wanted.insert(witness.member);
    }
  }
  std::erase_if(m_channels, [&wanted](const auto& channel) {
    return !wanted.contains(channel.first);
  });
  for (const MemberId& witness : wanted) {
    m_channels.try_emplace(witness);
  }
}

IdRegistrar::Position IdRegistrar::Add(const RegisteredId& id, TimePoint now) {
  return AddItem({0, now, id, std::nullopt});
}

IdRegistrar::Position IdRegistrar::Add(const ReadyMarker& marker,
                                       TimePoint now) {
  return AddItem({0, now, {}, marker});
}

IdRegistrar::Position IdRegistrar::AddItem(Item item) {
  item.position = ++m_last;
  for (auto& [witness, channel] : m_channels) {
    if (channel.needs_copy) {
      // The copy will hold it.
      continue;
    }
    if (channel.waiting.size() >= m_settings.max_request_ids) {
      // A witness that is away for long is filled anew when it is back.
      channel = Channel();
      continue;
    }
    channel.waiting.push_back(item);
  }
  return item.position;
}

std::vector<IdRegistrar::Outgoing> IdRegistrar::DueMessages(TimePoint now) {
  std::vector<Outgoing> messages;
  for (auto& [witness, channel] : m_channels) {
    std::optional<RegisterIdsRequest> request = NextRequest(channel, now);
    if (request.has_value()) {
      messages.push_back({witness, std::move(*request)});
    }
  }
  return messages;
}

std::optional<RegisterIdsRequest> IdRegistrar::NextRequest(Channel& channel,
                                                           TimePoint now) {
  if (now < channel.not_before) {
    return std::nullopt;
  }
  if (channel.sequence != 0) {
    if (now - channel.sent_at < m_settings.retry_interval) {
      return std::nullopt;
    }
    channel.sent_at = now;
    return MakeRequest(channel, now);
  }
  if (channel.needs_copy) {
    FillWithCopy(channel, now);
  }
  if (channel.waiting.empty()) {
    if (!channel.stored.has_value()) {
      channel.stored = channel.copied_up_to;
    }
    return std::nullopt;
  }
  channel.under_way =
      std::min(channel.waiting.size(), m_settings.ids_per_message);
  channel.sequence = m_next_sequence++;
  channel.sent_at = now;
  return MakeRequest(channel, now);
}

void IdRegistrar::FillWithCopy(Channel& channel, TimePoint now) {
  channel.needs_copy = false;
  channel.copied_up_to = m_last;
  const Contents contents = m_contents();
  for (const RegisteredId& id : contents.ids) {
    channel.waiting.push_back({m_last, now, id, std::nullopt});
  }
  // Behind the ids that they speak for.
  for (const ReadyMarker& marker : contents.markers) {
    channel.waiting.push_back({m_last, now, {}, marker});
  }
}

RegisterIdsRequest IdRegistrar::MakeRequest(const Channel& channel,
                                            TimePoint now) const {
  RegisterIdsRequest request;
  request.sequence = channel.sequence;
  request.service = m_service;
  for (std::size_t i = 0; i < channel.under_way; ++i) {
    const Item& item = channel.waiting[i];
    if (item.marker.has_value()) {
      request.markers.push_back(*item.marker);
      continue;
    }
    RegisteredId id = item.id;
    id.age += std::chrono::floor<std::chrono::milliseconds>(now - item.added);
    request.ids.push_back(id);
  }
  return request;
}

void IdRegistrar::OnReply(const MemberId& witness,
                          const RegisterIdsReply& reply,
                          TimePoint now) {
  const auto found = m_channels.find(witness);
  if (found == m_channels.end()) {
    return;
  }
  Channel& channel = found->second;
  if (channel.sequence == 0 || channel.sequence != reply.sequence) {
    return;
  }
  channel.sequence = 0;
  channel.refused = !reply.stored;
  if (!reply.stored) {
    channel.under_way = 0;
    channel.not_before = now + m_settings.retry_interval;
    return;
  }
  const Position position = channel.waiting[channel.under_way - 1].position;
  channel.waiting.erase(
      channel.waiting.begin(),
      channel.waiting.begin() + static_cast<std::ptrdiff_t>(channel.under_way));
  channel.under_way = 0;
  const bool in_copy = position <= channel.copied_up_to;
  const bool copy_goes_on =
      in_copy && !channel.waiting.empty() &&
      channel.waiting.front().position <= channel.copied_up_to;
  if (!copy_goes_on) {
    channel.stored = position;
  }
}

IdRegistrar::Position IdRegistrar::SafePosition(const WitnessSet& set) const {
  if (set.witnesses.empty()) {
    return m_last;
  }
  std::vector<Position> positions;
  for (const Witness& witness : set.witnesses) {
    const auto found = m_channels.find(witness.member);
    const bool known = found != m_channels.end();
    positions.push_back(known ? found->second.stored.value_or(0) : 0);
  }
  std::sort(positions.begin(), positions.end(), std::greater<>());
  return positions[set.MajoritySize() - 1];
}

bool IdRegistrar::IsCopied(const WitnessSet& set) const {
  const auto copied = std::count_if(
      set.witnesses.begin(), set.witnesses.end(),
      [this](const Witness& witness) {
        const auto found = m_channels.find(witness.member);
        return found != m_channels.end() && found->second.stored.has_value();
      });
  return static_cast<std::size_t>(copied) >= set.MajoritySize();
}

bool IdRegistrar::IsRefused() const {
  return std::any_of(
      m_channels.begin(), m_channels.end(),
      [](const auto& channel) { return channel.second.refused; });
}

}  // namespace citrongrade
