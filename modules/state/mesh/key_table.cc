#include "modules/state/mesh/key_table.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace citrongrade {

namespace {

void AppendMerged(std::vector<SlotAssignment>& assignments,
                  SlotAssignment assignment) {
  if (!assignments.empty() && assignments.back().SameAssignment(assignment)) {
    assignments.back().range.last = assignment.range.last;
    assignments.back().version =
        std::max(assignments.back().version, assignment.version);
    return;
  }
  assignments.push_back(std::move(assignment));
}

}  // namespace

bool SlotAssignment::SameAssignment(const SlotAssignment& other) const {
  return owner == other.owner && incarnation == other.incarnation &&
         fence == other.fence && handover == other.handover &&
         next == other.next;
}

KeyTable::KeyTable() {
  SlotAssignment all;
  all.range = {0, kSlotCount - 1};
  m_assignments.push_back(all);
}

std::size_t KeyTable::IndexOf(std::uint32_t slot) const {
  // `slot` must be from 0 to kSlotCount - 1.
  assert(slot < kSlotCount);
  const auto after = std::upper_bound(
      m_assignments.begin(), m_assignments.end(), slot,
      [](std::uint32_t wanted, const SlotAssignment& assignment) {
        return wanted < assignment.range.first;
      });
  return static_cast<std::size_t>(after - m_assignments.begin()) - 1;
}

const SlotAssignment& KeyTable::Find(std::uint32_t slot) const {
  return m_assignments[IndexOf(slot)];
}

std::span<const SlotAssignment> KeyTable::AssignmentsIn(
    const SlotRange& range) const {
  const std::size_t first = IndexOf(range.first);
  const std::size_t last = IndexOf(range.last);
  return std::span(m_assignments).subspan(first, last - first + 1);
}

void KeyTable::Assign(const SlotAssignment& assignment) {
  // The range must lie within the table and must not end before it starts.
  assert(assignment.range.first <= assignment.range.last &&
         assignment.range.last < kSlotCount);
  const std::size_t first = IndexOf(assignment.range.first);
  const std::size_t last = IndexOf(assignment.range.last);
  // Rebuild only the overlapping assignments and one neighbour on each side,
  // which may merge with the new one. Applying a full view calls this once for
  // each assignment; when each call copied the table, a small host was busy for
  // a second, in which no other node heard from it.
  const std::size_t from = first == 0 ? 0 : first - 1;
  const std::size_t to = std::min(last + 2, m_assignments.size());
  std::vector<SlotAssignment> changed;
  changed.reserve(to - from + 2);
  bool placed = false;
  for (std::size_t i = from; i < to; ++i) {
    SlotAssignment& old = m_assignments[i];
    if (!old.range.Overlaps(assignment.range)) {
      AppendMerged(changed, std::move(old));
      continue;
    }
    if (old.range.first < assignment.range.first) {
      SlotAssignment left = old;
      left.range.last = assignment.range.first - 1;
      AppendMerged(changed, std::move(left));
    }
    if (!placed) {
      AppendMerged(changed, assignment);
      placed = true;
    }
    if (old.range.last > assignment.range.last) {
      SlotAssignment right = old;
      right.range.first = assignment.range.last + 1;
      AppendMerged(changed, std::move(right));
    }
  }
  ReplaceAssignments(from, to, std::move(changed));
}

void KeyTable::ReplaceAssignments(std::size_t from,
                                  std::size_t to,
                                  std::vector<SlotAssignment> replacements) {
  const auto begin = m_assignments.begin() + static_cast<std::ptrdiff_t>(from);
  const auto end = m_assignments.begin() + static_cast<std::ptrdiff_t>(to);
  const auto common =
      static_cast<std::ptrdiff_t>(std::min(replacements.size(), to - from));
  std::move(replacements.begin(), replacements.begin() + common, begin);
  if (begin + common < end) {
    m_assignments.erase(begin + common, end);
    return;
  }
  m_assignments.insert(end,
                       std::make_move_iterator(replacements.begin() + common),
                       std::make_move_iterator(replacements.end()));
}

bool KeyTable::HasUnowned() const {
  return std::any_of(
      m_assignments.begin(), m_assignments.end(),
      [](const SlotAssignment& assignment) { return !assignment.has_owner(); });
}

std::uint32_t KeyTable::CountOwnedBy(const std::string& owner) const {
  std::uint32_t count = 0;
  for (const SlotAssignment& assignment : m_assignments)
    count += assignment.owner == owner ? assignment.range.size() : 0;
  return count;
}

}  // namespace citrongrade
