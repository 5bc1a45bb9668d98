#include "programs/citrongrade-load/load_report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace citrongrade {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxBrokenShown = 20;

double Milliseconds(std::chrono::microseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double PerSecond(std::size_t count, std::chrono::microseconds elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  return seconds > 0 ? static_cast<double>(count) / seconds : 0;
}

double Ratio(std::chrono::microseconds one, std::chrono::microseconds other) {
  return other.count() > 0 ? Milliseconds(one) / Milliseconds(other) : 0;
}

json JsonOf(const Percentiles& values) {
  return {{"count", values.count},
          {"p50", Milliseconds(values.p50)},
          {"p90", Milliseconds(values.p90)},
          {"p99", Milliseconds(values.p99)},
          {"p999", Milliseconds(values.p999)},
          {"max", Milliseconds(values.max)}};
}

json DirectComparison(const LoadReport& report) {
  const Percentiles& routed = report.read_latency;
  const Percentiles& direct = report.direct_latency;
  return {{"routed_ms", JsonOf(routed)},
          {"direct_ms", JsonOf(direct)},
          {"p50_ratio", Ratio(routed.p50, direct.p50)},
          {"p99_ratio", Ratio(routed.p99, direct.p99)},
          {"p50_difference_ms", Milliseconds(routed.p50 - direct.p50)},
          {"p99_difference_ms", Milliseconds(routed.p99 - direct.p99)}};
}

std::string LineOf(const char* name, const Percentiles& values) {
  return fmt::format(
      "{:<16} p50 {:.2f} ms, p90 {:.2f}, p99 {:.2f}, p99.9 {:.2f}, max {:.2f} "
      "({} values)\n",
      name, Milliseconds(values.p50), Milliseconds(values.p90),
      Milliseconds(values.p99), Milliseconds(values.p999),
      Milliseconds(values.max), values.count);
}

std::string DirectLines(const LoadReport& report) {
  if (report.direct_latency.count == 0)
    return {};
  const Percentiles& routed = report.read_latency;
  const Percentiles& direct = report.direct_latency;
  return LineOf("reads, routed", routed) + LineOf("reads, direct", direct) +
         fmt::format(
             "routed/direct    p50 {:.2f}x ({:+.2f} ms), p99 {:.2f}x ({:+.2f} "
             "ms)\n",
             Ratio(routed.p50, direct.p50),
             Milliseconds(routed.p50 - direct.p50),
             Ratio(routed.p99, direct.p99),
             Milliseconds(routed.p99 - direct.p99));
}

std::string BrokenLines(const LoadReport& report) {
  if (report.broken.empty())
    return "promises         none broken\n";
  std::string text =
      fmt::format("promises         {} BROKEN\n", report.broken.size());
  const std::size_t shown = std::min(report.broken.size(), kMaxBrokenShown);
  for (std::size_t i = 0; i < shown; ++i) {
    const BrokenPromise& broken = report.broken[i];
    text += fmt::format("  {} {}: {}\n", ToString(broken.kind), broken.call_id,
                        broken.detail);
  }
  return text;
}

}  // namespace

std::string LoadReport::ToJson() const {
  json broken_list = json::array();
  for (const BrokenPromise& one : broken) {
    broken_list.push_back({{"promise", ToString(one.kind)},
                           {"call_id", one.call_id},
                           {"detail", one.detail}});
  }
  return json({{"elapsed_ms", Milliseconds(elapsed)},
               {"calls", calls},
               {"done", done},
               {"not_run", not_run},
               {"unknown", unknown},
               {"lost", lost},
               {"attempts", attempts},
               {"done_per_second", PerSecond(done, elapsed)},
               {"failures", failures},
               {"latency_ms", JsonOf(latency)},
               {"comparison", DirectComparison(*this)},
               {"send_lag_ms", JsonOf(send_lag)},
               {"runs_are_whole", runs_are_whole},
               {"runs_by_target", runs_by_target},
               {"imbalance", imbalance},
               {"key_moves", key_moves},
               {"unavailable_ms", JsonOf(unavailable)},
               {"keys_still_failing", keys_still_failing},
               {"broken", broken_list}})
      .dump(2);
}

std::string LoadReport::ToText() const {
  std::string text = fmt::format(
      "calls            {} ({} attempts): done {}, not-run {}, unknown {}, "
      "lost {}; {:.0f} done/s\n",
      calls, attempts, done, not_run, unknown, lost, PerSecond(done, elapsed));
  text += LineOf("latency", latency);
  text += DirectLines(*this);
  text += LineOf("send lag", send_lag);
  text += LineOf("unavailable", unavailable);
  text += fmt::format("keys             {} moves, {} still failing\n",
                      key_moves, keys_still_failing);
  text += fmt::format("imbalance        {:.2f} over {} targets{}\n", imbalance,
                      runs_by_target.size(),
                      runs_are_whole ? "" : " (runs not wholly known)");
  for (const auto& [error, count] : failures)
    text += fmt::format("failed attempts  {} {}\n", error, count);
  return text + BrokenLines(*this);
}

}  // namespace citrongrade
