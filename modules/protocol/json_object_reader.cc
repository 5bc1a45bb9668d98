#include "modules/protocol/json_object_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "modules/protocol/malformed_json_error.h"

namespace citrongrade {

using nlohmann::json;

namespace {

[[noreturn]] void Fail(std::string_view where, std::string_view reason) {
  throw MalformedJsonError(std::string(where) + ": " + std::string(reason));
}

}  // namespace

JsonObjectReader::JsonObjectReader(const json& object, std::string_view where)
    : m_object(object), m_where(where) {
  if (!object.is_object()) {
    Fail(where, "is not an object");
  }
}

std::string JsonObjectReader::Text(std::string_view name,
                                   std::size_t max_bytes) {
  return AsText(Take(name), name, max_bytes);
}

std::uint64_t JsonObjectReader::Number(std::string_view name,
                                       std::uint64_t max) {
  return AsNumber(Take(name), name, max);
}

std::uint32_t JsonObjectReader::Number32(std::string_view name,
                                         std::uint32_t max) {
  return static_cast<std::uint32_t>(AsNumber(Take(name), name, max));
}

bool JsonObjectReader::Flag(std::string_view name) {
  const json& value = Take(name);
  if (!value.is_boolean()) {
    Fail(name, "is not true or false");
  }
  return value.get<bool>();
}

const json& JsonObjectReader::Array(std::string_view name,
                                    std::size_t max_items) {
  return AsArray(Take(name), name, max_items);
}

bool JsonObjectReader::Has(std::string_view name) const {
  return m_object.find(name) != m_object.end();
}

void JsonObjectReader::Finish() const {
  for (const auto& [name, value] : m_object.items()) {
    if (std::find(m_taken.begin(), m_taken.end(), name) == m_taken.end()) {
      Fail(m_where, "unknown field " + name);
    }
  }
}

std::string JsonObjectReader::AsText(const json& value,
                                     std::string_view where,
                                     std::size_t max_bytes) {
  if (!value.is_string()) {
    Fail(where, "is not a text");
  }
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > max_bytes) {
    Fail(where, "is longer than " + std::to_string(max_bytes) + " bytes");
  }
  return text;
}

std::uint64_t JsonObjectReader::AsNumber(const json& value,
                                         std::string_view where,
                                         std::uint64_t max) {
  if (!value.is_number_unsigned()) {
    Fail(where, "is not a whole number of 0 or more");
  }
  const auto number = value.get<std::uint64_t>();
  if (number > max) {
    Fail(where, "is greater than " + std::to_string(max));
  }
  return number;
}

const json& JsonObjectReader::AsArray(const json& value,
                                      std::string_view where,
                                      std::size_t max_items) {
  if (!value.is_array()) {
    Fail(where, "is not a list");
  }
  if (value.size() > max_items) {
    Fail(where, "has more than " + std::to_string(max_items) + " items");
  }
  return value;
}

const json& JsonObjectReader::Take(std::string_view name) {
  const auto found = m_object.find(name);
  if (found == m_object.end()) {
    Fail(m_where, "lacks the field " + std::string(name));
  }
  m_taken.emplace_back(name);
  return *found;
}

}  // namespace citrongrade
