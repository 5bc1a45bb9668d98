#pragma once

#include <memory>

namespace citrongrade {

class TerminationSignal;
struct NodeSettings;

// One process of the system: all its threads, joined. Serves from construction
// until Run returns.
class Node {
 public:
  // Throws HttpServerStartError, RpcListenError when it can't listen.
  explicit Node(const NodeSettings& settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Keeps the node a member while its target serves, until it is told to stop;
  // then leaves. False when it had to stop before everything was handed over
  // and finished, or when another process took its id.
  bool Run(const TerminationSignal& termination);

 private:
  class Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace citrongrade
