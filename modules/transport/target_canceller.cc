#include "modules/transport/target_canceller.h"

#include <chrono>

#include "modules/transport/http_client_connection.h"
#include "modules/transport/http_errors.h"
#include "modules/transport/thread_name.h"

namespace citrongrade {

namespace {

constexpr std::size_t kRing = 1024;
constexpr std::chrono::milliseconds kTimeout{500};
constexpr std::size_t kMaxAnswerBytes = 4096;

}  // namespace

TargetCanceller::TargetCanceller()
    : m_ring(kRing), m_thread([this] { Main(); }) {}

TargetCanceller::~TargetCanceller() {
  m_ring.Close();
  m_thread.join();
}

void TargetCanceller::Cancel(const HttpAddress& target,
                             const std::string& request_id) {
  m_ring.TryPush({target, request_id});
}

void TargetCanceller::Main() {
  NameThread("target-cancel");
  while (const auto item = m_ring.Pop()) {
    try {
      HttpClientConnection connection(item->first);
      HttpRequest request;
      request.method = "DELETE";
      request.target = "/v1/requests/" + item->second;
      connection.Call(request, kTimeout, kMaxAnswerBytes);
    } catch (const HttpError&) {
      // The target is gone, or too slow to be told.
    }
  }
}

}  // namespace citrongrade
