#pragma once

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <string>
#include <string_view>

#include "modules/protocol/malformed_message_error.h"

namespace citrongrade {

// A Cap'n Proto message as the packed bytes that travel.
template <typename Builder>
std::string Pack(Builder& message) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

// Runs `read` on the message's root; whatever is wrong with the bytes is a
// MalformedMessageError.
template <typename Root, typename Read>
auto Unpack(std::string_view bytes, Read read) {
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader message(stream);
    return read(message.getRoot<Root>());
  } catch (const kj::Exception& error) {
    throw MalformedMessageError(error.getDescription().cStr());
  }
}

inline std::string ReadBytes(capnp::Data::Reader bytes) {
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

inline kj::ArrayPtr<const kj::byte> BytesOf(const std::string& bytes) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()),
                      bytes.size());
}

}  // namespace citrongrade
