#pragma once

#include <sys/types.h>

#include <cstdint>

/// CPU time and memory of a process, read from /proc.
namespace jasminelead::support {

/// User and system time in seconds. Throws std::runtime_error when the process does not exist.
double processor_seconds(pid_t id);
/// Resident memory in KiB. Throws std::runtime_error when the process does not exist.
std::int64_t resident_kib(pid_t id);

}  // namespace jasminelead::support
