#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "modules/state/mesh/key_table.h"
#include "modules/state/mesh/mesh_member.h"

namespace citrongrade {

// The changes of a view since a version, or the full view.
struct ViewDelta {
  struct Assignment {
    std::string service;
    SlotAssignment assignment;

    friend auto operator<=>(const Assignment&, const Assignment&) = default;
  };

  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  // The delta replaces everything that the receiver has.
  bool is_whole = false;
  std::vector<MeshMember> members;
  std::vector<Assignment> assignments;

  bool is_empty() const {
    return !is_whole && members.empty() && assignments.empty();
  }

  friend auto operator<=>(const ViewDelta&, const ViewDelta&) = default;
};

// The mesh as published by one leader: its members and the owners of slots.
// Each change gets a version, so that other nodes are sent only what is new to
// them. A plain value; use from one thread only. See also MeshRecord, the part
// that is stored.
class MeshView {
 public:
  std::uint64_t epoch() const { return m_epoch; }
  std::uint64_t version() const { return m_version; }

  // Clears the view for a new leader.
  void BeginEpoch(std::uint64_t epoch);

  // Each call raises the version, except SetMember() with an unchanged member.
  void SetMember(const MeshMember& member);
  void SetTable(const std::string& service, const KeyTable& table);
  void Assign(const std::string& service, SlotAssignment assignment);

  // Null if there is none.
  const MeshMember* FindMember(const std::string& address) const;
  const KeyTable* FindTable(const std::string& service) const;
  std::vector<const MeshMember*> MembersOf(const std::string& service) const;
  const std::map<std::string, KeyTable>& tables() const { return m_tables; }
  std::vector<const MeshMember*> members() const;

  // The changes that the node `reader` lacks if it has `version` of `epoch`.
  // For slots that other nodes own, they hold only the range, the owner and the
  // fencing token.
  ViewDelta ChangesSince(std::uint64_t epoch,
                         std::uint64_t version,
                         const std::string& reader) const;
  // Returns false and changes nothing if the delta is older than this view, or
  // if it is of a later epoch but not a full view.
  bool Apply(const ViewDelta& delta);

 private:
  struct Entry {
    MeshMember member;
    std::uint64_t version = 0;
  };

  std::uint64_t m_epoch = 0;
  std::uint64_t m_version = 0;
  std::map<std::string, Entry> m_members;
  std::map<std::string, KeyTable> m_tables;
};

}  // namespace citrongrade
