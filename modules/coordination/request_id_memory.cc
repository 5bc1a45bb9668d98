#include "modules/coordination/request_id_memory.h"

#include <algorithm>
#include <utility>

namespace citrongrade {

namespace {

std::size_t SizeOf(const StoredAnswer& answer) {
  return sizeof(StoredAnswer) + answer.content_type.size() + answer.body.size();
}

RegisteredId MakeRegisteredId(SlotIndex slot,
                              const RequestIdHash& id,
                              Clock::TimePoint registered,
                              std::chrono::milliseconds resend_horizon,
                              Clock::TimePoint now) {
  // Rounded down: a younger id is kept for longer.
  const auto age =
      std::chrono::floor<std::chrono::milliseconds>(now - registered);
  return {slot, id, age, resend_horizon};
}

}  // namespace

RequestIdMemory::RequestIdMemory(std::size_t max_ids,
                                 std::size_t max_answer_bytes)
    : m_max_ids(max_ids), m_max_answer_bytes(max_answer_bytes) {}

RequestIdMemory::Status RequestIdMemory::StatusOf(
    SlotIndex slot,
    const RequestIdHash& id) const {
  const Entry* entry = Find(slot, id);
  return entry == nullptr ? Status::kUnknown : entry->status;
}

std::shared_ptr<const StoredAnswer> RequestIdMemory::AnswerOf(
    SlotIndex slot,
    const RequestIdHash& id) const {
  const Entry* entry = Find(slot, id);
  return entry == nullptr ? nullptr : entry->answer;
}

void RequestIdMemory::Add(const ProtectedRequest& request, TimePoint now) {
  Entry& entry = FindOrAdd(request.slot, request.id);
  entry.status = Status::kRegistering;
  entry.registered = now;
  entry.resend_horizon = request.resend_horizon;
  ScheduleExpiry(request.slot, request.id, entry);
}

void RequestIdMemory::SetRunning(SlotIndex slot, const RequestIdHash& id) {
  Entry* entry = Find(slot, id);
  if (entry != nullptr) {
    entry->status = Status::kRunning;
  }
}

void RequestIdMemory::Finish(const ProtectedRequest& request,
                             std::shared_ptr<const StoredAnswer> answer,
                             TimePoint now) {
  Entry* entry = Find(request.slot, request.id);
  if (entry == nullptr) {
    // Registered with an earlier coordinator of this process.
    Add(request, now);
    entry = Find(request.slot, request.id);
  }
  entry->status = Status::kFinished;
  KeepAnswer(request.slot, request.id, *entry, std::move(answer));
}

void RequestIdMemory::Withdraw(SlotIndex slot, const RequestIdHash& id) {
  Erase(slot, id);
}

void RequestIdMemory::Learn(const RegisteredId& id,
                            std::shared_ptr<const StoredAnswer> answer,
                            TimePoint now) {
  Entry* known = Find(id.slot, id.id);
  if (known != nullptr) {
    if (known->status == Status::kFinished && known->answer == nullptr) {
      KeepAnswer(id.slot, id.id, *known, std::move(answer));
    }
    return;
  }
  Entry& entry = FindOrAdd(id.slot, id.id);
  entry.status = Status::kFinished;
  entry.registered = now - id.age;
  entry.resend_horizon = id.resend_horizon;
  ScheduleExpiry(id.slot, id.id, entry);
  KeepAnswer(id.slot, id.id, entry, std::move(answer));
}

std::vector<HandedId> RequestIdMemory::IdsOf(SlotIndex slot,
                                             TimePoint now) const {
  std::vector<HandedId> ids;
  const auto found = m_slots.find(slot);
  if (found == m_slots.end()) {
    return ids;
  }
  for (const auto& [id, entry] : found->second) {
    HandedId handed{
        MakeRegisteredId(slot, id, entry.registered, entry.resend_horizon, now),
        std::nullopt};
    if (entry.answer != nullptr) {
      handed.answer = *entry.answer;
    }
    ids.push_back(std::move(handed));
  }
  return ids;
}

std::vector<RegisteredId> RequestIdMemory::AllIds(TimePoint now) const {
  std::vector<RegisteredId> ids;
  ids.reserve(m_size);
  for (const auto& [slot, entries] : m_slots) {
    for (const auto& [id, entry] : entries) {
      ids.push_back(MakeRegisteredId(slot, id, entry.registered,
                                     entry.resend_horizon, now));
    }
  }
  return ids;
}

bool RequestIdMemory::HasUnfinished(SlotIndex slot) const {
  const auto found = m_slots.find(slot);
  return found != m_slots.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [](const auto& entry) {
                       return entry.second.status != Status::kFinished;
                     });
}

void RequestIdMemory::ForgetSlot(SlotIndex slot) {
  const auto found = m_slots.find(slot);
  if (found == m_slots.end()) {
    return;
  }
  for (auto& [id, entry] : found->second) {
    DropAnswer(entry);
  }
  m_size -= found->second.size();
  m_slots.erase(found);
}

void RequestIdMemory::ForgetExpired(TimePoint now) {
  while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
    const Key key = m_expiries.begin()->second;
    m_expiries.erase(m_expiries.begin());
    const Entry* entry = Find(key.slot, key.id);
    if (entry == nullptr) {
      continue;
    }
    const bool unfinished = entry->status != Status::kFinished;
    if (unfinished) {
      // What runs now is kept until it has ended.
      m_expiries.emplace(now + entry->resend_horizon, key);
    } else if (entry->registered + entry->resend_horizon <= now) {
      Erase(key.slot, key.id);
    }
  }
}

const RequestIdMemory::Entry* RequestIdMemory::Find(
    SlotIndex slot,
    const RequestIdHash& id) const {
  const auto entries = m_slots.find(slot);
  if (entries == m_slots.end()) {
    return nullptr;
  }
  const auto found = entries->second.find(id);
  return found == entries->second.end() ? nullptr : &found->second;
}

RequestIdMemory::Entry* RequestIdMemory::Find(SlotIndex slot,
                                              const RequestIdHash& id) {
  return const_cast<Entry*>(std::as_const(*this).Find(slot, id));
}

RequestIdMemory::Entry& RequestIdMemory::FindOrAdd(SlotIndex slot,
                                                   const RequestIdHash& id) {
  const auto [entry, added] = m_slots[slot].try_emplace(id);
  m_size += added ? 1 : 0;
  return entry->second;
}

void RequestIdMemory::ScheduleExpiry(SlotIndex slot,
                                     const RequestIdHash& id,
                                     const Entry& entry) {
  m_expiries.emplace(entry.registered + entry.resend_horizon, Key{slot, id});
}

void RequestIdMemory::Erase(SlotIndex slot, const RequestIdHash& id) {
  const auto entries = m_slots.find(slot);
  if (entries == m_slots.end()) {
    return;
  }
  const auto found = entries->second.find(id);
  if (found == entries->second.end()) {
    return;
  }
  DropAnswer(found->second);
  entries->second.erase(found);
  --m_size;
}

void RequestIdMemory::KeepAnswer(SlotIndex slot,
                                 const RequestIdHash& id,
                                 Entry& entry,
                                 std::shared_ptr<const StoredAnswer> answer) {
  DropAnswer(entry);
  if (answer == nullptr) {
    return;
  }
  m_answer_bytes += SizeOf(*answer);
  entry.answer = std::move(answer);
  m_answers.push_back({slot, id});
  while (m_answer_bytes > m_max_answer_bytes && !m_answers.empty()) {
    const Key oldest = m_answers.front();
    m_answers.pop_front();
    Entry* oldest_entry = Find(oldest.slot, oldest.id);
    if (oldest_entry != nullptr) {
      DropAnswer(*oldest_entry);
    }
  }
}

void RequestIdMemory::DropAnswer(Entry& entry) {
  if (entry.answer != nullptr) {
    m_answer_bytes -= SizeOf(*entry.answer);
    entry.answer.reset();
  }
}

}  // namespace citrongrade
