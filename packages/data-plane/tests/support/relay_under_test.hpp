// One relay in this process, with a route of each kind and many runners behind one address.
#pragma once
#include <cstdint>
#include <memory>

#include "routed_relay.hpp"

namespace emberdale_test {

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
