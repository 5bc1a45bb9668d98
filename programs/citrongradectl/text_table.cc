#include "programs/citrongradectl/text_table.h"

#include <algorithm>
#include <ostream>
#include <utility>

namespace citrongrade {

TextTable::TextTable(std::vector<std::string> header) {
  m_rows.push_back(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> cells) {
  cells.resize(m_rows.front().size());
  m_rows.push_back(std::move(cells));
}

void TextTable::Print(std::ostream& out) const {
  const std::size_t columns = m_rows.front().size();
  std::vector<std::size_t> widths(columns);
  for (const std::vector<std::string>& row : m_rows) {
    for (std::size_t i = 0; i < columns; ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const std::vector<std::string>& row : m_rows) {
    std::string line;
    for (std::size_t i = 0; i < columns; ++i) {
      line += row[i];
      if (i + 1 < columns) {
        line.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << '\n';
  }
}

}  // namespace citrongrade
