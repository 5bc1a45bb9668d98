#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "modules/state/mesh/key_table.h"
#include "modules/state/mesh/mesh_member.h"

namespace citrongrade {

// What changed in a view since a version, or all of it.
struct ViewDelta {
  struct Assignment {
    std::string service;
    SlotAssignment assignment;

    friend auto operator<=>(const Assignment&, const Assignment&) = default;
  };

  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  // It replaces whatever the receiver had.
  bool is_whole = false;
  std::vector<MeshMember> members;
  std::vector<Assignment> assignments;

  bool is_empty() const {
    return !is_whole && members.empty() && assignments.empty();
  }

  friend auto operator<=>(const ViewDelta&, const ViewDelta&) = default;
};

// The mesh as one leader publishes it: members, and owners of slots. Each
// change gets a version of its own, so that others are sent only what is new to
// them. A value for one thread. Kin: MeshRecord, the part of it that is stored.
class MeshView {
 public:
  std::uint64_t epoch() const { return m_epoch; }
  std::uint64_t version() const { return m_version; }

  // A new leader's view starts anew.
  void BeginEpoch(std::uint64_t epoch);

  // Each raises the version, unless nothing changes.
  void SetMember(const MeshMember& member);
  void SetTable(const std::string& service, const KeyTable& table);
  void Assign(const std::string& service, SlotAssignment run);

  // Nothing when there is none.
  const MeshMember* FindMember(const std::string& address) const;
  const KeyTable* FindTable(const std::string& service) const;
  std::vector<const MeshMember*> MembersOf(const std::string& service) const;
  const std::map<std::string, KeyTable>& tables() const { return m_tables; }
  std::vector<const MeshMember*> members() const;

  // What the node `reader` needs, which knows `version` of `epoch`. Of what
  // others own it gets the owner and the fencing token only.
  ViewDelta ChangesSince(std::uint64_t epoch,
                         std::uint64_t version,
                         const std::string& reader) const;
  // Returns false for a delta that is older than what is known, or that does
  // not fit to it; then nothing changes.
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
