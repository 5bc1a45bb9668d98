#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "modules/coordination/clock.h"
#include "modules/coordination/messages/handed_id.h"
#include "modules/coordination/messages/registered_id.h"
#include "modules/coordination/protected_request.h"
#include "modules/coordination/stored_answer.h"
#include "modules/state/request_id_hash.h"

namespace citrongrade {

// An owner's memory of the protected requests of its slots: which run, which
// ran, and what the small ones answered. An id is kept for its whole resend
// horizon and never evicted before; when full, new ids are refused. Answers may
// be dropped earlier: a resend is then told that the outcome is unknown. Pure.
// Kin: WitnessedIds, the witness's copy of the ids.
class RequestIdMemory {
 public:
  using TimePoint = Clock::TimePoint;

  enum class Status : std::uint8_t {
    kUnknown,
    // Sent to witnesses, not yet given to the target.
    kRegistering,
    kRunning,
    kFinished,
  };

  RequestIdMemory(std::size_t max_ids, std::size_t max_answer_bytes);

  Status StatusOf(SlotIndex slot, const RequestIdHash& id) const;
  // Null when there is none, or none any more.
  std::shared_ptr<const StoredAnswer> AnswerOf(SlotIndex slot,
                                               const RequestIdHash& id) const;
  bool IsFull() const { return m_size >= m_max_ids; }

  void Add(const ProtectedRequest& request, TimePoint now);
  void SetRunning(SlotIndex slot, const RequestIdHash& id);
  void Finish(const ProtectedRequest& request,
              std::shared_ptr<const StoredAnswer> answer,
              TimePoint now);
  // It did not run and may be tried again. Witnesses are not told: a withdrawal
  // that overtakes a later registration would erase an id that ran.
  void Withdraw(SlotIndex slot, const RequestIdHash& id);

  // Takes over an id from another node; also beyond the bound, since an id that
  // is lost here could run twice.
  void Learn(const RegisteredId& id,
             std::shared_ptr<const StoredAnswer> answer,
             TimePoint now);

  std::vector<HandedId> IdsOf(SlotIndex slot, TimePoint now) const;
  std::vector<RegisteredId> AllIds(TimePoint now) const;
  bool HasUnfinished(SlotIndex slot) const;
  void ForgetSlot(SlotIndex slot);
  void ForgetExpired(TimePoint now);

  std::size_t size() const { return m_size; }
  std::size_t answer_bytes() const { return m_answer_bytes; }

 private:
  struct Entry {
    Status status = Status::kUnknown;
    TimePoint registered;
    std::chrono::milliseconds resend_horizon{0};
    std::shared_ptr<const StoredAnswer> answer;
  };
  struct IdHasher {
    std::size_t operator()(const RequestIdHash& id) const { return id.low; }
  };
  using SlotEntries = std::unordered_map<RequestIdHash, Entry, IdHasher>;
  struct Key {
    SlotIndex slot;
    RequestIdHash id;
  };

  const Entry* Find(SlotIndex slot, const RequestIdHash& id) const;
  Entry* Find(SlotIndex slot, const RequestIdHash& id);
  Entry& FindOrAdd(SlotIndex slot, const RequestIdHash& id);
  void ScheduleExpiry(SlotIndex slot,
                      const RequestIdHash& id,
                      const Entry& entry);
  void Erase(SlotIndex slot, const RequestIdHash& id);
  void KeepAnswer(SlotIndex slot,
                  const RequestIdHash& id,
                  Entry& entry,
                  std::shared_ptr<const StoredAnswer> answer);
  void DropAnswer(Entry& entry);

  const std::size_t m_max_ids;
  const std::size_t m_max_answer_bytes;
  std::map<SlotIndex, SlotEntries> m_slots;
  std::multimap<TimePoint, Key> m_expiries;
  std::deque<Key> m_answers;
  std::size_t m_size = 0;
  std::size_t m_answer_bytes = 0;
};

}  // namespace citrongrade
