#pragma once

#include <CLI/CLI.hpp>

#include <charconv>
#include <chrono>
#include <concepts>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "modules/transport/http_address.h"
#include "modules/transport/http_errors.h"
#include "programs/support/settings_error.h"

namespace citrongrade {

// Reads a program's settings from flags, else from environment variables
// (--listen-address or CITRONGRADE_LISTEN_ADDRESS). Add each setting with its
// variable, which holds the default, then Read once. Mistakes are collected, so
// that an operator mends them all after one start.
class SettingsReader {
 public:
  explicit SettingsReader(const std::string& description) : m_app(description) {
    m_app.allow_extras();
  }

  void Add(const std::string& flag, std::string& value, const char* help) {
    AddText(flag, value, help,
            [&value](const std::string& text) { value = text; });
  }

  void Add(const std::string& flag, HttpAddress& value, const char* help) {
    AddText(flag, value.port == 0 ? "" : value.ToString(), help,
            [&value](const std::string& text) {
              value = HttpAddress::Parse(text);
            });
  }

  // Several addresses, separated by commas.
  void Add(const std::string& flag,
           std::vector<HttpAddress>& value,
           const char* help) {
    AddText(flag, "", help, [&value](const std::string& text) {
      value = ParseAddresses(text);
    });
  }

  template <typename Number>
  requires std::integral<Number> || std::floating_point<Number>
  void Add(const std::string& flag, Number& value, const char* help) {
    AddText(flag, CLI::detail::to_string(value), help,
            [&value](const std::string& text) {
              value = ParseNumber<Number>(text);
            });
  }

  void Add(const std::string& flag,
           std::chrono::milliseconds& value,
           const char* help) {
    AddText(flag, std::to_string(value.count()), help,
            [&value](const std::string& text) {
              value = std::chrono::milliseconds(ParseNumber<unsigned>(text));
            });
  }

  // A setting with a form of its own; `parse` throws SettingsError.
  void AddParsed(const std::string& flag,
                 const std::string& default_text,
                 const char* help,
                 std::function<void(const std::string&)> parse) {
    AddText(flag, default_text, help, std::move(parse));
  }

  // --name and --no-name.
  void AddSwitch(const std::string& flag, bool& value, const char* help) {
    m_app.add_flag(flag + ",!--no-" + flag.substr(kDashes.size()), value, help)
        ->envname(VariableOf(flag));
  }

  // A rule over several settings, for example that one needs another. Reported
  // with `mistake` where it returns false.
  void AddRule(std::function<bool()> rule, const std::string& mistake) {
    m_rules.push_back({std::move(rule), mistake});
  }

  // Returns false if help was asked for, and printed. Throws SettingsError.
  bool Read(int argc, const char* const* argv) {
    std::vector<std::string> mistakes;
    try {
      m_app.parse(argc, argv);
    } catch (const CLI::CallForHelp&) {
      std::cout << m_app.help();
      return false;
    } catch (const CLI::ParseError& error) {
      mistakes.emplace_back(error.what());
    }
    for (const std::string& extra : m_app.remaining())
      mistakes.push_back(extra + " is unknown");
    for (const auto& setting : m_settings)
      Check(*setting, mistakes);
    CheckRules(mistakes);
    if (!mistakes.empty())
      throw SettingsError(Join(mistakes));
    return true;
  }

 private:
  struct Setting {
    std::string flag;
    std::string text;
    std::function<void(const std::string&)> parse;
    CLI::Option* option = nullptr;
  };

  struct Rule {
    std::function<bool()> holds;
    std::string mistake;
  };

  static constexpr std::string_view kDashes = "--";

  static std::string VariableOf(const std::string& flag) {
    std::string name = "CITRONGRADE_";
    for (const char letter : flag.substr(kDashes.size())) {
      name += letter == '-' ? '_'
                            : static_cast<char>(std::toupper(
                                  static_cast<unsigned char>(letter)));
    }
    return name;
  }

  template <typename Number>
  static Number ParseNumber(const std::string& text) {
    Number number = {};
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
      throw SettingsError("\"" + text + "\" is not a number of that range");
    return number;
  }

  static std::vector<HttpAddress> ParseAddresses(const std::string& text) {
    std::vector<HttpAddress> addresses;
    for (const std::string& part : CLI::detail::split(text, ','))
      addresses.push_back(HttpAddress::Parse(part));
    return addresses;
  }

  static std::string Join(const std::vector<std::string>& mistakes) {
    std::string message;
    for (const std::string& mistake : mistakes)
      message += (message.empty() ? "" : "; ") + mistake;
    return message;
  }

  void AddText(const std::string& flag,
               const std::string& default_text,
               const char* help,
               std::function<void(const std::string&)> parse) {
    auto setting = std::make_unique<Setting>();
    setting->flag = flag;
    setting->parse = std::move(parse);
    setting->option =
        m_app.add_option(flag, setting->text, help)->envname(VariableOf(flag));
    // A flag given twice: the last counts, so that a script's can be overruled.
    setting->option->multi_option_policy(CLI::MultiOptionPolicy::TakeLast);
    setting->option->default_str(default_text);
    m_settings.push_back(std::move(setting));
  }

  static void Check(const Setting& setting,
                    std::vector<std::string>& mistakes) {
    if (setting.option->count() == 0)
      return;
    try {
      setting.parse(setting.text);
    } catch (const SettingsError& error) {
      mistakes.push_back(setting.flag + ": " + error.what());
    } catch (const InvalidHttpAddressError& error) {
      mistakes.push_back(setting.flag + ": " + error.what());
    }
  }

  void CheckRules(std::vector<std::string>& mistakes) const {
    for (const Rule& rule : m_rules) {
      if (!rule.holds())
        mistakes.push_back(rule.mistake);
    }
  }

  CLI::App m_app;
  std::vector<std::unique_ptr<Setting>> m_settings;
  std::vector<Rule> m_rules;
};

}  // namespace citrongrade
