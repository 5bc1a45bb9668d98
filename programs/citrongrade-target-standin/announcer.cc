#include "programs/citrongrade-target-standin/announcer.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_connection_pool.h"
#include "modules/transport/http_errors.h"
#include "programs/citrongrade-target-standin/freeze_gate.h"
#include "programs/citrongrade-target-standin/target_service.h"
#include "programs/citrongrade-target-standin/target_settings.h"

namespace citrongrade {

namespace {

constexpr std::chrono::seconds kTimeout(2);
constexpr std::size_t kMaxResponseBytes = 65536;
constexpr int kOk = 200;

}  // namespace

class Announcer::Implementation {
 public:
  Implementation(const TargetSettings& settings,
                 const HttpAddress& address,
                 const TargetService& service,
                 FreezeGate& freeze_gate)
      : m_settings(settings),
        m_address(address.ToString()),
        m_service(service),
        m_freeze_gate(freeze_gate),
        m_pool(settings.node_address, 1),
        m_thread([this] { Run(); }) {}

  ~Implementation() {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
      m_changed.notify_all();
    }
    m_thread.join();
  }

  void AnnounceNow() {
    std::unique_lock lock(m_mutex);
    const std::uint64_t wanted = ++m_requested;
    m_changed.notify_all();
    m_changed.wait(lock, [&] { return m_announced >= wanted; });
  }

 private:
  void Run() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      const std::uint64_t requested = m_requested;
      lock.unlock();
      Announce();
      lock.lock();
      m_announced = requested;
      m_changed.notify_all();
      m_changed.wait_for(lock, m_settings.announce_interval, [&] {
        return m_stopping || m_requested != m_announced;
      });
    }
  }

  void Announce() {
    m_freeze_gate.Pass();
    try {
      HttpClientConnection connection = m_pool.Take();
      const HttpResponse response =
          connection.Call({.method = "POST",
                           .target = "/v1/targets",
                           .headers = {},
                           .body = Announcement()},
                          kTimeout, kMaxResponseBytes);
      NoteResult(response.head.status == kOk, response.body);
      m_pool.GiveBack(std::move(connection));
    } catch (const HttpError& error) {
      NoteResult(false, error.what());
    }
  }

  std::string Announcement() const {
    return nlohmann::json({{"workspace", m_settings.workspace},
                           {"service", m_settings.service},
                           {"address", m_address},
                           {"slots", m_settings.slots},
                           {"connections", m_settings.connections},
                           {"checks_grants", m_settings.checks_grants},
                           {"state", ToString(m_service.state())}})
        .dump();
  }

  void NoteResult(bool accepted, const std::string& reason) {
    if (accepted == m_accepted)
      return;
    m_accepted = accepted;
    if (accepted)
      spdlog::info("event=announced");
    else
      spdlog::warn("event=announcement-failed reason=\"{}\"", reason);
  }

  const TargetSettings& m_settings;
  const std::string m_address;
  const TargetService& m_service;
  FreezeGate& m_freeze_gate;
  HttpConnectionPool m_pool;
  bool m_accepted = false;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::uint64_t m_requested = 0;
  std::uint64_t m_announced = 0;
  bool m_stopping = false;
  std::thread m_thread;
};

Announcer::Announcer(const TargetSettings& settings,
                     const HttpAddress& address,
                     const TargetService& service,
                     FreezeGate& freeze_gate)
    : m_implementation(std::make_unique<Implementation>(settings,
                                                        address,
                                                        service,
                                                        freeze_gate)) {}

Announcer::~Announcer() = default;

void Announcer::AnnounceNow() {
  m_implementation->AnnounceNow();
}

}  // namespace citrongrade
