#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "modules/coordination/clock.h"
#include "modules/protocol/answer_head.h"
#include "modules/protocol/forwarded_request.h"

namespace citrongrade {

class BodyPipe;

// One attempt of one request inside one node: the request, its body on the way
// to whoever runs it, the answer's head and body on the way back, and who has
// the last word on whether it runs.
//
// Whoever passes it on, to another node or to the target, calls TryStart as
// the last step before; whoever gives it up calls Cancel. One of the two wins,
// so a request that is said not to have run can't run afterwards.
//
// Shared by the thread that waits for the answer and the one that gets it.
class RequestTransfer {
 public:
  // Of each body, the part that is held here.
  static constexpr std::size_t kPipeBytes = std::size_t{256} * 1024;
  // A body up to this size travels with its head.
  static constexpr std::size_t kInlineBytes = std::size_t{64} * 1024;

  RequestTransfer(ForwardedRequest request, Clock::TimePoint deadline);
  ~RequestTransfer();
  RequestTransfer(const RequestTransfer&) = delete;
  RequestTransfer& operator=(const RequestTransfer&) = delete;

  const ForwardedRequest& request() const;
  Clock::TimePoint deadline() const;
  BodyPipe& upload();
  BodyPipe& download();

  // True once: from then on it may have run. False after Cancel.
  bool TryStart();
  // True: it was not started and never will be. False: it may run, or have run.
  bool Cancel();
  bool is_cancelled() const;

  // The answer; the first one counts. False for a late one, which is dropped.
  // The answer's body follows through download().
  bool Answer(AnswerHead head);
  bool is_answered() const;
  // Waits for it. Nothing once `until` has passed.
  std::optional<AnswerHead> WaitForAnswer(Clock::TimePoint until);
  // Only after is_answered().
  const AnswerHead& answer() const;

  // Called without locks held; at once when it has happened already. Set by
  // the side that passes the request on.
  void SetAnswerCallback(std::function<void()> callback);
  void SetCancelCallback(std::function<void()> callback);

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
