#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citrongrade {

// One service that receives a share of a route's requests.
struct RouteDestination {
  std::string service;
  // Relative to the weights of the route's other destinations.
  std::uint32_t weight = 1;

  friend auto operator<=>(const RouteDestination&,
                          const RouteDestination&) = default;
};

// Where requests for one host and path prefix go, and how they are handled.
struct RouteRule {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  // Requests may run more than once with the same effect.
  bool is_idempotent = false;
  // Longest time that a caller waits for a response.
  std::chrono::milliseconds timeout{1000};
  // Target response time: a response within it is worth most to the caller.
  std::chrono::milliseconds target_latency{1000};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Targets that a request may be sent to, including the first one.
  std::uint32_t max_attempts = 1;
  std::vector<RouteDestination> destinations;
  // Regions whose targets may run the requests; empty: all.
  std::vector<std::string> allowed_regions;

  friend auto operator<=>(const RouteRule&, const RouteRule&) = default;
};

struct RoutedService {
  std::string name;
  // Each key belongs to one target.
  bool is_sharded = false;
  // Path of the target's health check.
  std::string health_path = "/";
  // Connections that one target accepts from all callers together.
  std::uint32_t max_connections = 64;
  // How long a target is cold after its start: slow, and harmed by more
  // requests a second than `cold_requests_per_second`. Zero: no limit.
  std::chrono::milliseconds cold_start{0};
  double cold_requests_per_second = 0;

  friend auto operator<=>(const RoutedService&, const RoutedService&) = default;
};

// Limits on callers' requests and connections.
struct CallerLimits {
  std::uint64_t max_header_bytes = 16'384;
  std::uint64_t max_body_bytes = 64ULL << 20U;
  std::chrono::milliseconds header_timeout{5000};
  std::chrono::milliseconds idle_timeout{15'000};

  friend auto operator<=>(const CallerLimits&, const CallerLimits&) = default;
};

// One complete version of the routing configuration that operators publish.
// Immutable once read.
struct RoutingConfig {
  std::uint64_t version = 0;
  std::vector<RouteRule> routes;
  std::map<std::string, RoutedService> services;
  CallerLimits limits;

  const RoutedService* FindService(const std::string& name) const;

  friend auto operator<=>(const RoutingConfig&, const RoutingConfig&) = default;
};

}  // namespace citrongrade
