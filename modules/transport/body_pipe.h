#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "modules/coordination/clock.h"

namespace citrongrade {

// One body on its way from the thread that gets it to the thread that passes it
// on, at most `capacity` bytes of it at a time: a bounded ring of byte chunks.
//
// One writer and one reader, each either blocking (Write, Read) or an event
// loop (TryWrite, TryRead and a callback). A body ends by End or by Fail, so
// that one cut short never looks whole.
class BodyPipe {
 public:
  // What a reader sees next.
  enum class ReadState {
    kBytes,
    // Nothing yet.
    kWait,
    // The body was whole.
    kEnd,
    // The body was cut short.
    kFailed,
  };
  struct ReadResult {
    ReadState state = ReadState::kWait;
    std::string bytes;
  };

  explicit BodyPipe(std::size_t capacity);
  ~BodyPipe();
  BodyPipe(const BodyPipe&) = delete;
  BodyPipe& operator=(const BodyPipe&) = delete;

  // Waits until all bytes are in. False when the reader has closed or the
  // deadline passed: nobody will read on.
  bool Write(std::string_view bytes, Clock::TimePoint deadline);
  // Without waiting; `bytes` may exceed the capacity when the pipe is empty.
  // False when there is no room. Bytes for a closed reader are dropped.
  bool TryWrite(std::string bytes);
  void End();
  // Drops what was not read yet, too.
  void Fail();

  // Waits for the next chunk; kWait once the deadline has passed.
  ReadResult Read(Clock::TimePoint deadline);
  // At most `max_bytes`, without waiting.
  ReadResult TryRead(std::size_t max_bytes);
  // The reader wants no more: the writer stops.
  void CloseReader();

  bool reader_closed() const;
  // Nothing is left to be read and nothing will come.
  bool is_finished() const;
  std::size_t free_bytes() const;

  // For the side that is an event loop; called without locks held, on the other
  // side's thread, whenever it may be able to go on. Set before the other side
  // starts.
  void SetReadableCallback(std::function<void()> callback);
  void SetWritableCallback(std::function<void()> callback);

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
