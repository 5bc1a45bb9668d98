#include "programs/citrongradectl/json_printer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "programs/citrongradectl/text_table.h"

namespace citrongrade {

using nlohmann::ordered_json;

namespace {

// A node's slots alone may fill many screens.
constexpr std::size_t kMaxCellBytes = 120;

std::string ToCell(const ordered_json& value) {
  if (value.is_string()) {
    return value.get<std::string>();
  }
  std::string text = value.dump();
  if (text.size() > kMaxCellBytes) {
    return std::to_string(value.size()) + " items, see --json";
  }
  return text;
}

bool IsTable(const ordered_json& value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const ordered_json& item) { return item.is_object(); });
}

std::vector<std::string> ColumnsOf(const ordered_json& list) {
  std::vector<std::string> columns;
  for (const ordered_json& item : list) {
    for (const auto& [name, value] : item.items()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

void PrintTable(const std::string& title,
                const ordered_json& list,
                std::ostream& out) {
  const std::vector<std::string> columns = ColumnsOf(list);
  TextTable table(columns);
  for (const ordered_json& item : list) {
    std::vector<std::string> cells;
    for (const std::string& column : columns) {
      const auto found = item.find(column);
      cells.push_back(found == item.end() ? "" : ToCell(*found));
    }
    table.AddRow(std::move(cells));
  }
  out << '\n' << title << ":\n";
  table.Print(out);
}

// Nested objects become lines with dotted names; tables come after the lines.
void PrintFields(const std::string& prefix,
                 const ordered_json& object,
                 std::ostream& out) {
  for (const auto& [name, value] : object.items()) {
    const std::string path = prefix + name;
    if (value.is_object()) {
      PrintFields(path + ".", value, out);
    } else if (!IsTable(value)) {
      out << path << ": " << ToCell(value) << '\n';
    }
  }
}

void PrintTables(const std::string& prefix,
                 const ordered_json& object,
                 std::ostream& out) {
  for (const auto& [name, value] : object.items()) {
    const std::string path = prefix + name;
    if (value.is_object()) {
      PrintTables(path + ".", value, out);
    } else if (IsTable(value)) {
      PrintTable(path, value, out);
    }
  }
}

}  // namespace

void JsonPrinter::Print(const ordered_json& value, std::ostream& out) {
  if (!value.is_object()) {
    out << ToCell(value) << '\n';
    return;
  }
  PrintFields("", value, out);
  PrintTables("", value, out);
}

}  // namespace citrongrade
