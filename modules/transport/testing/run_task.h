#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

#include "modules/transport/async/task.h"

namespace citrongrade {

// Runs the task on `loop` until it has ended. Rethrows its exception.
template <typename MakeTask>
void RunTask(boost::asio::io_context& loop, MakeTask make_task) {
  std::exception_ptr failure;
  // An earlier task has stopped it.
  loop.restart();
  boost::asio::co_spawn(loop, make_task(), [&](std::exception_ptr error) {
    failure = std::move(error);
    loop.stop();
  });
  loop.run();
  if (failure)
    std::rethrow_exception(failure);
}

}  // namespace citrongrade
