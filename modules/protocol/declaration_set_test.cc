#include "modules/protocol/declaration_set.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "modules/protocol/invalid_declaration_error.h"

namespace citrongrade {

namespace {

const std::string kTemplate = R"(kind: template
name: by-key
parameters:
  key_header: {type: text, required: true}
  deadline:
    type: duration
    min: 100ms
    max: 30s
    default: 10s
settings:
  key_source: header
  key_name: {parameter: key_header}
  default_deadline: {parameter: deadline}
)";

const std::string kService = R"(kind: service
workspace: instituto-amostra-justa
name: sorteio
template: by-key
parameters:
  key_header: Engagement
  deadline: 8s
)";

std::vector<std::string> ProblemsOf(const std::vector<DeclarationFile>& files) {
  std::vector<std::string> texts;
  try {
    DeclarationSet::Read(files, {});
  } catch (const InvalidDeclarationError& error) {
    for (const DeclarationProblem& problem : error.problems()) {
      texts.push_back(problem.ToString());
    }
  }
  return texts;
}

std::vector<std::string> ProblemsOf(const std::string& text) {
  return ProblemsOf(std::vector<DeclarationFile>{{"f.yaml", text}});
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

using Texts = std::vector<std::string>;

}  // namespace

TEST_CASE("a template and its service are read in either order of files") {
  const DeclarationSet set = DeclarationSet::Read(
      {{"service.yaml", kService}, {"template.yaml", kTemplate}}, {});
  REQUIRE(set.declarations().size() == 2);
  CHECK(set.declarations()[0].name == "by-key");
  CHECK(set.declarations()[1].name == "instituto-amostra-justa/sorteio");
}

TEST_CASE("comments and order of fields don't change what is published") {
  const std::string other =
      "# a comment\n" + Replace(Replace(kService, "template: by-key\n", ""),
                                "kind: service\n",
                                "kind: service\ntemplate: by-key\n");
  const DeclarationSet first =
      DeclarationSet::Read({{"t", kTemplate}, {"s", kService}}, {});
  const DeclarationSet second =
      DeclarationSet::Read({{"t", kTemplate}, {"s", other}}, {});
  CHECK(first.declarations() == second.declarations());
}

TEST_CASE("all problems of all files come in one pass, with file and line") {
  // An operator mistypes a setting in the template and a parameter in the
  // service. One run names both, with line, reason and the nearest name; were
  // it to stop at the first, each mistake would take another run.
  const std::string bad_template =
      Replace(kTemplate, "default_deadline:", "default_deadlin:");
  const std::string bad_service =
      Replace(Replace(kService, "deadline: 8s", "deadlnie: 8s"),
              "  key_header: Engagement\n", "");
  const Texts problems =
      ProblemsOf({{"t.yaml", kTemplate}, {"s.yaml", bad_service}});
  CHECK(problems ==
        Texts{"s.yaml:6: parameters.deadlnie: is no parameter of template "
              "by-key; did you mean \"deadline\"?",
              "s.yaml:5: parameters.key_header: is missing; template by-key "
              "requires it"});
  CHECK(ProblemsOf({{"t.yaml", bad_template}, {"s.yaml", bad_service}}) ==
        Texts{"t.yaml:13: settings.default_deadlin: is unknown; did you mean "
              "\"default_deadline\"?"});
}

TEST_CASE("ranges and types are checked, of defaults and of values") {
  CHECK(ProblemsOf({{"t", kTemplate}, {"s", Replace(kService, "8s", "31s")}}) ==
        Texts{"s:7: parameters.deadline: is greater than 30s"});
  CHECK(ProblemsOf({{"t", kTemplate}, {"s", Replace(kService, "8s", "8")}}) ==
        Texts{"s:7: parameters.deadline: is not a duration such as 250ms, 10s "
              "or 2m"});
  CHECK(ProblemsOf(Replace(kTemplate, "default: 10s", "default: 50ms")) ==
        Texts{"f.yaml:9: parameters.deadline.default: is less than 100ms"});
  CHECK(ProblemsOf(Replace(kTemplate, "max: 30s", "max: 11m")) ==
        Texts{"f.yaml:13: settings.default_deadline.parameter: its range is "
              "greater than 10m of the setting"});
  CHECK(ProblemsOf(Replace(kTemplate, "min: 100ms", "min: 40s")).size() == 2);
}

TEST_CASE("settings that contradict each other are refused") {
  // The id of a request is forgotten while the request may still run. Its
  // resend would count as a first one and run again beside it.
  const std::string forgets = kTemplate + "  resend_horizon: 20s\n";
  CHECK(ProblemsOf({{"t", forgets}, {"s", kService}}) ==
        Texts{"s:1: resend_horizon is less than max_deadline"});
  const std::string no_header =
      Replace(kService, "key_header: Engagement", "key_header: 'a b'");
  CHECK(ProblemsOf({{"t", kTemplate}, {"s", no_header}}) ==
        Texts{"s:1: key_source is header, but key_name names no header"});
}

TEST_CASE("what YAML would take by guess is refused") {
  CHECK(ProblemsOf(kTemplate + "kind: template\n") ==
        Texts{"f.yaml:14: kind: is given twice"});
  CHECK(ProblemsOf(kTemplate + "---\nkind: template\n") ==
        Texts{"f.yaml: has to hold exactly one YAML document"});
  CHECK(ProblemsOf("a: [1,\n") ==
        Texts{"f.yaml:2: is not YAML: end of sequence flow not found"});
  CHECK(ProblemsOf("\xff\xfe: 1") == Texts{"f.yaml: is not UTF-8 text"});
  CHECK(ProblemsOf("kind: tmeplate\n") ==
        Texts{"f.yaml:1: kind: has to be template or service; did you mean "
              "\"template\"?"});
}

TEST_CASE("a few lines of aliases don't fill the memory") {
  // Nine lines, each naming the one before nine times, stand for a billion
  // values. Reading them whole would end the operator's program.
  std::string bomb = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n";
  for (int i = 1; i < 10; ++i) {
    const std::string previous = "*a" + std::to_string(i - 1);
    std::string list = previous;
    for (int j = 0; j < 8; ++j) {
      list += ", " + previous;
    }
    bomb += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [" + list +
            "]\n";
  }
  REQUIRE_FALSE(ProblemsOf(bomb).empty());
  CHECK(ProblemsOf(bomb).front().find("too many values") != std::string::npos);
  CHECK_FALSE(ProblemsOf("a: &a [*a]\n").empty());
}

TEST_CASE("text that goes on after a document doesn't fill the memory") {
  // A comma where no document can start: a reader of all documents finds one
  // empty document after the other there, without end.
  CHECK(ProblemsOf(",,a service\nkind: service\n") ==
        Texts{"f.yaml: has to hold exactly one YAML document"});
}

TEST_CASE("a template that is in force may be used without its file") {
  const DeclarationSet set =
      DeclarationSet::Read({{"template.yaml", kTemplate}}, {});
  const ConfigEntry entry{ConfigKind::kTemplate, "by-key", ConfigVersion(1),
                          set.declarations()[0].body, "ana"};
  CHECK_NOTHROW(DeclarationSet::Read({{"service.yaml", kService}}, {entry}));
  CHECK(ProblemsOf(
            {{"s", Replace(kService, "by-key", "bykey")}, {"t", kTemplate}}) ==
        Texts{"s:4: template: no template bykey is known; did you mean "
              "\"by-key\"?"});
}

}  // namespace citrongrade
