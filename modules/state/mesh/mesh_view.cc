#include "modules/state/mesh/mesh_view.h"

#include <utility>

namespace citrongrade {

namespace {

// Copies only what nodes other than the owner need to know of an assignment.
SlotAssignment WithoutOwnerDetails(const SlotAssignment& assignment) {
  SlotAssignment outline;
  outline.range = assignment.range;
  outline.owner = assignment.owner;
  outline.fence = assignment.fence;
  return outline;
}

}  // namespace

void MeshView::BeginEpoch(std::uint64_t epoch) {
  m_epoch = epoch;
  m_version = 1;
  m_members.clear();
  m_tables.clear();
}

void MeshView::SetMember(const MeshMember& member) {
  const auto found = m_members.find(member.address);
  if (found != m_members.end() && found->second.member == member)
    return;
  m_members[member.address] = {member, ++m_version};
}

void MeshView::SetTable(const std::string& service, const KeyTable& table) {
  ++m_version;
  KeyTable& own = m_tables[service];
  for (SlotAssignment assignment : table.assignments()) {
    assignment.version = m_version;
    own.Assign(assignment);
  }
}

void MeshView::Assign(const std::string& service, SlotAssignment assignment) {
  assignment.version = ++m_version;
  m_tables[service].Assign(assignment);
}

const MeshMember* MeshView::FindMember(const std::string& address) const {
  const auto found = m_members.find(address);
  return found == m_members.end() ? nullptr : &found->second.member;
}

const KeyTable* MeshView::FindTable(const std::string& service) const {
  const auto found = m_tables.find(service);
  return found == m_tables.end() ? nullptr : &found->second;
}

std::vector<const MeshMember*> MeshView::MembersOf(
    const std::string& service) const {
  std::vector<const MeshMember*> found;
  for (const auto& [address, entry] : m_members) {
    if (entry.member.service == service)
      found.push_back(&entry.member);
  }
  return found;
}

std::vector<const MeshMember*> MeshView::members() const {
  std::vector<const MeshMember*> all;
  all.reserve(m_members.size());
  for (const auto& [address, entry] : m_members)
    all.push_back(&entry.member);
  return all;
}

ViewDelta MeshView::ChangesSince(std::uint64_t epoch,
                                 std::uint64_t version,
                                 const std::string& reader) const {
  ViewDelta delta;
  delta.epoch = m_epoch;
  delta.version = m_version;
  delta.is_whole = epoch != m_epoch || version > m_version;
  const std::uint64_t known = delta.is_whole ? 0 : version;
  for (const auto& [address, entry] : m_members) {
    if (entry.version > known)
      delta.members.push_back(entry.member);
  }
  for (const auto& [service, table] : m_tables) {
    for (const SlotAssignment& assignment : table.assignments()) {
      if (assignment.version <= known)
        continue;
      delta.assignments.push_back(
          {service, assignment.owner == reader
                        ? assignment
                        : WithoutOwnerDetails(assignment)});
    }
  }
  return delta;
}

bool MeshView::Apply(const ViewDelta& delta) {
  if (delta.epoch < m_epoch)
    return false;
  if (delta.epoch == m_epoch && delta.version < m_version)
    return false;
  if (delta.epoch > m_epoch && !delta.is_whole)
    return false;
  if (delta.is_whole)
    BeginEpoch(delta.epoch);
  for (const MeshMember& member : delta.members)
    m_members[member.address] = {member, delta.version};
  for (const ViewDelta::Assignment& changed : delta.assignments)
    m_tables[changed.service].Assign(changed.assignment);
  m_version = delta.version;
  return true;
}

}  // namespace citrongrade
