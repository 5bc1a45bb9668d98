#include "modules/transport/request_transfer.h"

#include <condition_variable>
#include <mutex>
#include <utility>

#include "modules/transport/body_pipe.h"

namespace citrongrade {

class RequestTransfer::Implementation {
 public:
  enum class Phase { kWaiting, kStarted, kCancelled };

  Implementation(ForwardedRequest request_in, Clock::TimePoint deadline_in)
      : request(std::move(request_in)),
        deadline(deadline_in),
        upload(kPipeBytes),
        download(kPipeBytes) {}

  const ForwardedRequest request;
  const Clock::TimePoint deadline;
  BodyPipe upload;
  BodyPipe download;

  mutable std::mutex mutex;
  std::condition_variable answered;
  Phase phase = Phase::kWaiting;
  bool cancelled = false;
  std::optional<AnswerHead> answer;
  std::function<void()> on_answer;
  std::function<void()> on_cancel;
};

RequestTransfer::RequestTransfer(ForwardedRequest request,
                                 Clock::TimePoint deadline)
    : m_implementation(
          std::make_unique<Implementation>(std::move(request), deadline)) {}

RequestTransfer::~RequestTransfer() = default;

const ForwardedRequest& RequestTransfer::request() const {
  return m_implementation->request;
}

Clock::TimePoint RequestTransfer::deadline() const {
  return m_implementation->deadline;
}

BodyPipe& RequestTransfer::upload() {
  return m_implementation->upload;
}

BodyPipe& RequestTransfer::download() {
  return m_implementation->download;
}

bool RequestTransfer::TryStart() {
  const std::lock_guard lock(m_implementation->mutex);
  if (m_implementation->phase != Implementation::Phase::kWaiting)
    return false;
  m_implementation->phase = Implementation::Phase::kStarted;
  return true;
}

bool RequestTransfer::Cancel() {
  Implementation& self = *m_implementation;
  std::function<void()> on_cancel;
  bool never_started = false;
  {
    const std::lock_guard lock(self.mutex);
    if (self.phase == Implementation::Phase::kWaiting)
      self.phase = Implementation::Phase::kCancelled;
    never_started = self.phase == Implementation::Phase::kCancelled;
    if (!self.cancelled)
      on_cancel = self.on_cancel;
    self.cancelled = true;
  }
  self.upload.Fail();
  self.download.CloseReader();
  if (on_cancel)
    on_cancel();
  return never_started;
}

bool RequestTransfer::is_cancelled() const {
  const std::lock_guard lock(m_implementation->mutex);
  return m_implementation->cancelled;
}

bool RequestTransfer::Answer(AnswerHead head) {
  Implementation& self = *m_implementation;
  std::function<void()> on_answer;
  {
    const std::lock_guard lock(self.mutex);
    if (self.answer.has_value() || self.cancelled)
      return false;
    self.answer = std::move(head);
    on_answer = self.on_answer;
  }
  self.answered.notify_all();
  if (on_answer)
    on_answer();
  return true;
}

bool RequestTransfer::is_answered() const {
  const std::lock_guard lock(m_implementation->mutex);
  return m_implementation->answer.has_value();
}

std::optional<AnswerHead> RequestTransfer::WaitForAnswer(
    Clock::TimePoint until) {
  Implementation& self = *m_implementation;
  std::unique_lock lock(self.mutex);
  self.answered.wait_until(lock, until,
                           [&self] { return self.answer.has_value(); });
  return self.answer;
}

const AnswerHead& RequestTransfer::answer() const {
  const std::lock_guard lock(m_implementation->mutex);
  return *m_implementation->answer;
}

void RequestTransfer::SetAnswerCallback(std::function<void()> callback) {
  Implementation& self = *m_implementation;
  bool answered = false;
  {
    const std::lock_guard lock(self.mutex);
    self.on_answer = callback;
    answered = self.answer.has_value();
  }
  if (answered)
    callback();
}

void RequestTransfer::SetCancelCallback(std::function<void()> callback) {
  Implementation& self = *m_implementation;
  bool cancelled = false;
  {
    const std::lock_guard lock(self.mutex);
    self.on_cancel = callback;
    cancelled = self.cancelled;
  }
  if (cancelled)
    callback();
}

}  // namespace citrongrade
