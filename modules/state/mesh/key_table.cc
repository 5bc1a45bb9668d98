#include "modules/state/mesh/key_table.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace citrongrade {

namespace {

void AppendMerged(std::vector<SlotAssignment>& runs, SlotAssignment run) {
  if (!runs.empty() && runs.back().SameAssignment(run)) {
    runs.back().range.last = run.range.last;
    runs.back().version = std::max(runs.back().version, run.version);
    return;
  }
  runs.push_back(std::move(run));
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
  // The caller must pass a slot of this table: 0 to kSlotCount - 1.
  assert(slot < kSlotCount);
  const auto after =
      std::upper_bound(m_assignments.begin(), m_assignments.end(), slot,
                       [](std::uint32_t wanted, const SlotAssignment& run) {
                         return wanted < run.range.first;
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

void KeyTable::Assign(const SlotAssignment& run) {
  // The caller must pass a range whose end is not before its start.
  assert(run.range.first <= run.range.last && run.range.last < kSlotCount);
  const std::size_t first = IndexOf(run.range.first);
  const std::size_t last = IndexOf(run.range.last);
  // With a neighbour on each side, which the run may join. Nothing else is
  // touched: a whole view is one call for each of its runs, and with the table
  // copied in each call a small host computed for a second, heard by nobody.
  const std::size_t from = first == 0 ? 0 : first - 1;
  const std::size_t to = std::min(last + 2, m_assignments.size());
  std::vector<SlotAssignment> changed;
  changed.reserve(to - from + 2);
  bool placed = false;
  for (std::size_t i = from; i < to; ++i) {
    SlotAssignment& old = m_assignments[i];
    if (!old.range.Overlaps(run.range)) {
      AppendMerged(changed, std::move(old));
      continue;
    }
    if (old.range.first < run.range.first) {
      SlotAssignment left = old;
      left.range.last = run.range.first - 1;
      AppendMerged(changed, std::move(left));
    }
    if (!placed) {
      AppendMerged(changed, run);
      placed = true;
    }
    if (old.range.last > run.range.last) {
      SlotAssignment right = old;
      right.range.first = run.range.last + 1;
      AppendMerged(changed, std::move(right));
    }
  }
  ReplaceAssignments(from, to, std::move(changed));
}

void KeyTable::ReplaceAssignments(std::size_t from,
                                  std::size_t to,
                                  std::vector<SlotAssignment> runs) {
  const auto begin = m_assignments.begin() + static_cast<std::ptrdiff_t>(from);
  const auto end = m_assignments.begin() + static_cast<std::ptrdiff_t>(to);
  const auto common =
      static_cast<std::ptrdiff_t>(std::min(runs.size(), to - from));
  std::move(runs.begin(), runs.begin() + common, begin);
  if (begin + common < end) {
    m_assignments.erase(begin + common, end);
    return;
  }
  m_assignments.insert(end, std::make_move_iterator(runs.begin() + common),
                       std::make_move_iterator(runs.end()));
}

bool KeyTable::HasUnowned() const {
  return std::any_of(
      m_assignments.begin(), m_assignments.end(),
      [](const SlotAssignment& run) { return !run.has_owner(); });
}

std::uint32_t KeyTable::CountOwnedBy(const std::string& owner) const {
  std::uint32_t count = 0;
  for (const SlotAssignment& run : m_assignments)
    count += run.owner == owner ? run.range.size() : 0;
  return count;
}

}  // namespace citrongrade
