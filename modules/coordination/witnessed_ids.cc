#include "modules/coordination/witnessed_ids.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace citrongrade {

WitnessedIds::WitnessedIds(const CoordinatorSettings& settings)
    : m_settings(settings) {}

bool WitnessedIds::Store(const MemberId& owner,
                         const RegisterIdsRequest& request,
                         TimePoint now) {
  if (m_size + request.ids.size() > m_settings.max_witnessed_ids) {
    return false;
  }
  Owner& entry = m_owners[owner];
  for (const RegisteredId& id : request.ids) {
    StoreId(entry, owner, id, now);
  }
  for (const ReadyMarker& marker : request.markers) {
    Epoch& epoch = entry.markers[marker.slot];
    epoch = std::max(epoch, marker.epoch);
  }
  return true;
}

void WitnessedIds::StoreId(Owner& owner,
                           const MemberId& owner_id,
                           const RegisteredId& id,
                           TimePoint now) {
  const IdKey key{id.slot, id.id};
  const Remembered fresh{now - id.age, id.resend_horizon};
  const auto [entry, added] = owner.ids.try_emplace(key, fresh);
  if (added) {
    ++m_size;
  } else if (entry->second.Expiry() >= fresh.Expiry()) {
    return;
  } else {
    entry->second = fresh;
  }
  m_expiries.emplace(fresh.Expiry(), Expiry{owner_id, key});
}

CollectIdsReply WitnessedIds::Collect(const MemberId& owner,
                                      std::uint32_t chunk_index,
                                      TimePoint now) const {
  CollectIdsReply reply;
  reply.lost = owner;
  reply.chunk_index = chunk_index;
  reply.is_last = true;
  const auto found = m_owners.find(owner);
  if (found == m_owners.end()) {
    return reply;
  }
  const std::size_t chunk_size = m_settings.ids_per_message;
  const std::map<IdKey, Remembered>& ids = found->second.ids;
  const std::size_t begin = std::min(ids.size(), chunk_index * chunk_size);
  const std::size_t end = std::min(ids.size(), begin + chunk_size);
  auto it = std::next(ids.begin(), static_cast<std::ptrdiff_t>(begin));
  for (std::size_t i = begin; i < end; ++i, ++it) {
    const auto age = std::chrono::floor<std::chrono::milliseconds>(
        now - it->second.registered);
    reply.ids.push_back(
        {it->first.slot, it->first.id, age, it->second.resend_horizon});
  }
  reply.is_last = end == ids.size();
  if (chunk_index == 0) {
    for (const auto& [slot, epoch] : found->second.markers) {
      reply.markers.push_back({slot, epoch});
    }
  }
  return reply;
}

void WitnessedIds::NoteGone(const MemberId& owner, TimePoint now) {
  if (m_owners.contains(owner)) {
    m_gone_until.try_emplace(owner, now + m_settings.marker_retention);
  }
}

void WitnessedIds::ForgetExpired(TimePoint now) {
  while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
    const Expiry expiry = m_expiries.begin()->second;
    m_expiries.erase(m_expiries.begin());
    const auto owner = m_owners.find(expiry.owner);
    if (owner == m_owners.end() || m_gone_until.contains(expiry.owner)) {
      continue;
    }
    const auto id = owner->second.ids.find(expiry.key);
    if (id != owner->second.ids.end() && id->second.Expiry() <= now) {
      owner->second.ids.erase(id);
      --m_size;
    }
  }
  std::erase_if(m_gone_until, [this, now](const auto& gone) {
    if (gone.second > now) {
      return false;
    }
    const auto owner = m_owners.find(gone.first);
    if (owner != m_owners.end()) {
      m_size -= owner->second.ids.size();
      m_owners.erase(owner);
    }
    return true;
  });
}

}  // namespace citrongrade
