#pragma once

// What was sent, answered and run, with the time since the start.

#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

#include "http.h"

namespace review {

class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  auto Write(const std::string& text) -> void {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(
        time, sizeof time, "%8.3f  ",
        std::chrono::duration<double>(Clock::now() - this->start).count());
    this->file << time << text << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  const Clock::time_point start = Clock::now();
};

}  // namespace review
