#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace citrongrade {

// Rows of text in columns as wide as their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  void AddRow(std::vector<std::string> cells);
  bool empty() const { return m_rows.size() == 1; }
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> m_rows;
};

}  // namespace citrongrade
