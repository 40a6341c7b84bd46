// One relay in this process, with a route of each kind and many runners behind one address.
#pragma once
#include <cstdint>
#include <memory>
#include <string>

#include "routed_relay.hpp"

namespace emberdale_test {

// A route of the host front.example to the pool "p". Example: route_of("once", false, false) takes /once/...
emberdale::Route route_of(const std::string& name, bool is_repeatable, bool is_streaming);
// The header names that the stand-ins of callers and runners use.
emberdale::RelayHeaderNames relay_header_names();

class RelayUnderTest {
 public:
  explicit RelayUnderTest(std::uint16_t runner_port);
  ~RelayUnderTest();
  std::uint16_t port() const { return port_; }
  emberdale::RoutedRelay& relay() { return *relay_; }

 private:
  std::uint16_t port_;
  emberdale::ControlSnapshot snapshot_;
  std::unique_ptr<emberdale::RoutedRelay> relay_;
};

}  // namespace emberdale_test
