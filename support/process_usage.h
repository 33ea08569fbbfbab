#pragma once

#include <sys/types.h>

#include <cstdint>

/// Use of processor and memory of one process, read from /proc.
namespace jasminelead::support {

/// User and system time in seconds. Throws std::runtime_error when the process is gone.
double processor_seconds(pid_t id);
/// Resident memory in KiB. Throws std::runtime_error when the process is gone.
std::int64_t resident_kib(pid_t id);

}  // namespace jasminelead::support
