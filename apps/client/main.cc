#include <csignal>
#include <iostream>

#include <unistd.h>

#include "run_client.h"

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  return shallotbank::client::RunClient(argc, argv, environ, std::cin,
                                        std::cout, std::cerr);
}
