#include "modules/protocol/config_change_codec.h"

#include <chrono>
#include <compare>
#include <map>
#include <vector>

#include "modules/protocol/malformed_message_error.h"
#include "modules/protocol/mesh.capnp.h"
#include "modules/protocol/packed_message.h"
#include "modules/protocol/zone_evacuations_codec.h"

namespace citrongrade {

namespace {

using std::chrono::milliseconds;
using Message = rpc::MeshConfigChange;

// Numbers what the columns name, from 0 on.
template <typename Value>
class Dictionary {
 public:
  std::uint32_t PlaceOf(const Value& value) {
    const auto next = static_cast<std::uint32_t>(m_values.size());
    const auto [found, is_new] = m_places.try_emplace(value, next);
    if (is_new)
      m_values.push_back(&found->first);
    return found->second;
  }

  unsigned count() const { return static_cast<unsigned>(m_values.size()); }
  const Value& at(unsigned place) const { return *m_values[place]; }

 private:
  std::map<Value, std::uint32_t> m_places;
  std::vector<const Value*> m_values;
};

// A route's settings, which it has in common with many others.
RouteRule TermsOf(const RouteRule& route) {
  RouteRule terms = route;
  terms.name.clear();
  terms.host.clear();
  terms.path_prefix.clear();
  return terms;
}

// Takes strings from where they stand one after the other.
class StringColumn {
 public:
  StringColumn(capnp::Data::Reader bytes,
               capnp::List<std::uint32_t>::Reader lengths)
      : m_bytes(ReadBytes(bytes)), m_lengths(lengths) {}

  unsigned count() const { return m_lengths.size(); }

  // In order, from the first on.
  std::string Next() {
    const std::size_t length = m_lengths[m_next++];
    if (length > m_bytes.size() - m_read)
      throw MalformedMessageError("a column that breaks off");
    std::string text = m_bytes.substr(m_read, length);
    m_read += length;
    return text;
  }

 private:
  const std::string m_bytes;
  const capnp::List<std::uint32_t>::Reader m_lengths;
  unsigned m_next = 0;
  std::size_t m_read = 0;
};

template <typename List>
void WriteTexts(const std::vector<std::string>& texts, List list) {
  for (unsigned i = 0; i < list.size(); ++i)
    list.set(i, texts[i]);
}

std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader list) {
  std::vector<std::string> texts;
  texts.reserve(list.size());
  for (const auto text : list)
    texts.emplace_back(text);
  return texts;
}

void WriteTerms(const RouteRule& route, Message::Terms::Builder out) {
  out.setIsIdempotent(route.is_idempotent);
  out.setTimeoutMs(static_cast<std::uint64_t>(route.timeout.count()));
  out.setTargetLatencyMs(
      static_cast<std::uint64_t>(route.target_latency.count()));
  out.setPriority(route.priority);
  out.setMaxAttempts(route.max_attempts);
  WriteTexts(
      route.allowed_regions,
      out.initRegions(static_cast<unsigned>(route.allowed_regions.size())));
  auto list =
      out.initDestinations(static_cast<unsigned>(route.destinations.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setService(route.destinations[i].service);
    list[i].setWeight(route.destinations[i].weight);
  }
}

RouteRule ReadTerms(Message::Terms::Reader in) {
  RouteRule route;
  route.is_idempotent = in.getIsIdempotent();
  route.timeout = milliseconds(in.getTimeoutMs());
  route.target_latency = milliseconds(in.getTargetLatencyMs());
  route.priority = in.getPriority();
  route.max_attempts = in.getMaxAttempts();
  route.allowed_regions = ReadTexts(in.getRegions());
  for (const auto destination : in.getDestinations()) {
    route.destinations.push_back(
        {destination.getService(), destination.getWeight()});
  }
  return route;
}

void WriteRoutes(const std::vector<RouteRule>& routes, Message::Builder out) {
  const auto count = static_cast<unsigned>(routes.size());
  auto name_length = out.initNameLength(count);
  auto prefix_length = out.initPrefixLength(count);
  auto host = out.initHost(count);
  auto term = out.initTerm(count);
  Dictionary<std::string> hosts;
  Dictionary<RouteRule> terms;
  std::string names;
  std::string prefixes;
  for (unsigned i = 0; i < count; ++i) {
    const RouteRule& route = routes[i];
    names += route.name;
    name_length.set(i, static_cast<std::uint32_t>(route.name.size()));
    prefixes += route.path_prefix;
    prefix_length.set(i, static_cast<std::uint32_t>(route.path_prefix.size()));
    host.set(i, hosts.PlaceOf(route.host));
    term.set(i, terms.PlaceOf(TermsOf(route)));
  }
  out.setNames(BytesOf(names));
  out.setPrefixes(BytesOf(prefixes));
  auto host_list = out.initHosts(hosts.count());
  for (unsigned i = 0; i < hosts.count(); ++i)
    host_list.set(i, hosts.at(i));
  auto term_list = out.initTerms(terms.count());
  for (unsigned i = 0; i < terms.count(); ++i)
    WriteTerms(terms.at(i), term_list[i]);
}

std::vector<RouteRule> ReadRoutes(Message::Reader in) {
  // Each call of a getter counts its whole list as read, against a limit.
  const std::vector<std::string> hosts = ReadTexts(in.getHosts());
  std::vector<RouteRule> terms;
  for (const auto entry : in.getTerms())
    terms.push_back(ReadTerms(entry));
  StringColumn names(in.getNames(), in.getNameLength());
  StringColumn prefixes(in.getPrefixes(), in.getPrefixLength());
  const auto host = in.getHost();
  const auto term = in.getTerm();
  const unsigned count = names.count();
  if (prefixes.count() != count || host.size() != count || term.size() != count)
    throw MalformedMessageError("columns of different lengths");
  std::vector<RouteRule> routes;
  routes.reserve(count);
  for (unsigned i = 0; i < count; ++i) {
    if (host[i] >= hosts.size() || term[i] >= terms.size())
      throw MalformedMessageError("a route without its host or terms");
    RouteRule route = terms[term[i]];
    route.name = names.Next();
    route.host = hosts[host[i]];
    route.path_prefix = prefixes.Next();
    routes.push_back(std::move(route));
  }
  return routes;
}

void WriteService(const RoutedService& service, Message::Service::Builder out) {
  out.setName(service.name);
  out.setIsDividedByKey(service.is_sharded);
  out.setHealthPath(service.health_path);
  out.setMaxConnections(service.max_connections);
  out.setColdStartMs(static_cast<std::uint64_t>(service.cold_start.count()));
  out.setColdRequestsPerSecond(service.cold_requests_per_second);
}

RoutedService ReadService(Message::Service::Reader in) {
  RoutedService service;
  service.name = in.getName();
  service.is_sharded = in.getIsDividedByKey();
  service.health_path = in.getHealthPath();
  service.max_connections = in.getMaxConnections();
  service.cold_start = milliseconds(in.getColdStartMs());
  service.cold_requests_per_second = in.getColdRequestsPerSecond();
  return service;
}

void WriteLimits(const CallerLimits& limits, Message::Limits::Builder out) {
  out.setMaxHeaderBytes(limits.max_header_bytes);
  out.setMaxBodyBytes(limits.max_body_bytes);
  out.setHeaderTimeoutMs(
      static_cast<std::uint64_t>(limits.header_timeout.count()));
  out.setIdleTimeoutMs(static_cast<std::uint64_t>(limits.idle_timeout.count()));
}

CallerLimits ReadLimits(Message::Limits::Reader in) {
  CallerLimits limits;
  limits.max_header_bytes = in.getMaxHeaderBytes();
  limits.max_body_bytes = in.getMaxBodyBytes();
  limits.header_timeout = milliseconds(in.getHeaderTimeoutMs());
  limits.idle_timeout = milliseconds(in.getIdleTimeoutMs());
  return limits;
}

ConfigChange ReadChange(Message::Reader in) {
  ConfigChange change;
  change.from_version = in.getFromVersion();
  change.to_version = in.getToVersion();
  if (in.getHasStoreNext())
    change.store_next = in.getStoreNext();
  change.limits = ReadLimits(in.getLimits());
  change.evacuations = ReadEvacuations(in.getEvacuations());
  change.removed_routes = ReadTexts(in.getRemovedRoutes());
  change.removed_services = ReadTexts(in.getRemovedServices());
  for (const auto service : in.getServices())
    change.services.push_back(ReadService(service));
  change.routes = ReadRoutes(in);
  return change;
}

}  // namespace

std::string ConfigChangeCodec::EncodeRequest(std::uint64_t version) {
  capnp::MallocMessageBuilder message;
  message.initRoot<rpc::MeshConfigRequest>().setVersion(version);
  return Pack(message);
}

std::string ConfigChangeCodec::Encode(const ConfigChange& change) {
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<Message>();
  out.setFromVersion(change.from_version);
  out.setToVersion(change.to_version);
  out.setHasStoreNext(change.store_next.has_value());
  out.setStoreNext(change.store_next.value_or(0));
  WriteLimits(change.limits, out.initLimits());
  WriteEvacuations(change.evacuations, out.initEvacuations());
  WriteTexts(change.removed_routes, out.initRemovedRoutes(static_cast<unsigned>(
                                        change.removed_routes.size())));
  WriteTexts(change.removed_services,
             out.initRemovedServices(
                 static_cast<unsigned>(change.removed_services.size())));
  auto services =
      out.initServices(static_cast<unsigned>(change.services.size()));
  for (unsigned i = 0; i < services.size(); ++i)
    WriteService(change.services[i], services[i]);
  WriteRoutes(change.routes, out);
  return Pack(message);
}

std::uint64_t ConfigChangeCodec::DecodeRequest(std::string_view bytes) {
  return Unpack<rpc::MeshConfigRequest>(
      bytes, [](rpc::MeshConfigRequest::Reader in) { return in.getVersion(); });
}

ConfigChange ConfigChangeCodec::Decode(std::string_view bytes) {
  return Unpack<Message>(bytes, ReadChange);
}

}  // namespace citrongrade
