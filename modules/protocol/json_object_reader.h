#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace citrongrade {

// Reads one JSON object strictly: each field has its type and bounds, none is
// missing, and Finish() finds the ones nobody asked for. Holds a reference to
// the object. Every function throws MalformedJsonError.
//
// Not for declarations that operators write: those list all their problems
// (DeclarationReader).
class JsonObjectReader {
 public:
  // `where` names the object in messages.
  JsonObjectReader(const nlohmann::json& object, std::string_view where);

  std::string Text(std::string_view name, std::size_t max_bytes);
  std::uint64_t Number(
      std::string_view name,
      std::uint64_t max = std::numeric_limits<std::uint64_t>::max());
  std::uint32_t Number32(
      std::string_view name,
      std::uint32_t max = std::numeric_limits<std::uint32_t>::max());
  bool Flag(std::string_view name);
  const nlohmann::json& Array(std::string_view name, std::size_t max_items);
  bool Has(std::string_view name) const;

  // Every field of the object has been read.
  void Finish() const;

  // The same checks for an item that stands outside an object.
  static std::string AsText(const nlohmann::json& value,
                            std::string_view where,
                            std::size_t max_bytes);
  static std::uint64_t AsNumber(const nlohmann::json& value,
                                std::string_view where,
                                std::uint64_t max);
  static const nlohmann::json& AsArray(const nlohmann::json& value,
                                       std::string_view where,
                                       std::size_t max_items);

 private:
  const nlohmann::json& Take(std::string_view name);

  const nlohmann::json& m_object;
  std::string m_where;
  std::vector<std::string> m_taken;
};

}  // namespace citrongrade
