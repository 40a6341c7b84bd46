#include <gtest/gtest.h>
#include "routed_relay.hpp"
