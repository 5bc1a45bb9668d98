#pragma once

#include "modules/transport/async/async_http_server.h"
#include "modules/transport/async/task.h"

namespace citrongrade {

class TargetKeeper;

// What the target beside this node says of itself.
class ReportHandler final : public AsyncHttpServer::Handler {
 public:
  explicit ReportHandler(TargetKeeper& keeper) : m_keeper(keeper) {}

  Task<HttpResponse> Handle(HttpRequest request,
                            RequestContext& context) override;

 private:
  HttpResponse Take(const std::string& id, const HttpRequest& request);

  TargetKeeper& m_keeper;
};

}  // namespace citrongrade
