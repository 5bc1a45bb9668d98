#include "modules/transport/request_transfer.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "modules/transport/body_pipe.h"
#include "modules/transport/refusals.h"

namespace citrongrade {

TEST_CASE("of a start and a cancel at the same moment one wins") {
  // The caller gives up while a pool thread is about to write to the target.
  // Were both to succeed, the caller would be told not-run and the target would
  // run it.
  for (int round = 0; round < 200; ++round) {
    RequestTransfer transfer({}, {});
    std::atomic<bool> started = false;
    std::thread runner([&] { started = transfer.TryStart(); });
    const bool proved_not_run = transfer.Cancel();
    runner.join();
    CHECK(started != proved_not_run);
  }
}

TEST_CASE("the first answer counts, a late one is dropped") {
  RequestTransfer transfer({}, {});
  CHECK(transfer.Answer(RefuseUnknown(RequestErrorCode::kTargetTimeout, "a")));
  CHECK_FALSE(transfer.Answer(AnswerHead()));
  CHECK(transfer.answer().error == RequestErrorCode::kTargetTimeout);
  RequestTransfer cancelled({}, {});
  cancelled.Cancel();
  CHECK_FALSE(cancelled.Answer(AnswerHead()));
}

TEST_CASE("a cancel stops both bodies and tells whoever runs it, once") {
  RequestTransfer transfer({}, {});
  CHECK(transfer.TryStart());
  int told = 0;
  transfer.SetCancelCallback([&] { ++told; });
  CHECK_FALSE(transfer.Cancel());
  CHECK_FALSE(transfer.Cancel());
  CHECK(told == 1);
  CHECK(transfer.upload().TryRead(1).state == BodyPipe::ReadState::kFailed);
  CHECK(transfer.download().reader_closed());
}

TEST_CASE("callbacks set after the event are called at once") {
  RequestTransfer transfer({}, {});
  transfer.Answer(AnswerHead());
  transfer.Cancel();
  int calls = 0;
  transfer.SetAnswerCallback([&] { ++calls; });
  transfer.SetCancelCallback([&] { ++calls; });
  CHECK(calls == 2);
}

}  // namespace citrongrade
