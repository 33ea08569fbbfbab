// The stand-ins that the review's scripts share with the soak, and the exit codes of a script.
#pragma once

#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "soak/client.h"
#include "soak/clock.h"
#include "soak/deployment.h"
#include "soak/instance.h"
#include "soak/service.h"

namespace world {

using namespace jasminelead::soak;

/// The exit codes of a script.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

inline bool with_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

}  // namespace world
