#include "modules/transport/thread_name.h"

#include <pthread.h>

namespace citrongrade {

void NameThread(const char* duty) {
  pthread_setname_np(pthread_self(), duty);
}

}  // namespace citrongrade
