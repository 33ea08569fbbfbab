#pragma once

#include <cstdint>
#include <string>

/// Time and the record of one run of the soak and of the review's scripts.
namespace jasminelead::soak {

/// Milliseconds since the start of the program, on the steady clock.
double now_ms();
void sleep_ms(double ms);
/// Unix time in whole milliseconds.
std::int64_t unix_ms();

/// Starts the record at `path`. Until then, lines are dropped.
void open_record(const std::string& path);
/// Writes a line with its time to the record.
void note(const std::string& line);
/// Writes what is still buffered.
void flush_record();

/// Makes line ends visible.
std::string shown(const std::string& text);

}  // namespace jasminelead::soak
