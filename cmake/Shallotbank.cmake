# Functions that define libraries, tests and benchmarks with common compiler flags.

add_library(shallotbank_flags INTERFACE)
target_compile_options(
  shallotbank_flags
  INTERFACE -Wall
            -Wextra
            # Designated initializers omit members deliberately.
            -Wno-missing-field-initializers
            -Wshadow=local
            -Wnon-virtual-dtor
            -Werror
            -Wno-error=maybe-uninitialized
            -Wno-error=stringop-overflow
            -fno-omit-frame-pointer)
if(SHALLOTBANK_SANITIZER)
  target_compile_options(shallotbank_flags
                         INTERFACE -fsanitize=${SHALLOTBANK_SANITIZER} -fno-sanitize-recover=all)
  target_link_options(shallotbank_flags INTERFACE -fsanitize=${SHALLOTBANK_SANITIZER})
endif()

# shallotbank_library(NAME DEPENDS ...): static library from src/*.cc and src/*.c++.
function(shallotbank_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc
       ${CMAKE_CURRENT_SOURCE_DIR}/src/*.c++)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC include PRIVATE src)
  target_link_libraries(${name} PUBLIC shallotbank_flags Threads::Threads ${ARG_DEPENDS})
endfunction()

# shallotbank_tests(NAME DEPENDS ... [TIMEOUT seconds]): one Boost.Test executable
# for each tests/*_test.cc.
function(shallotbank_tests name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "DEPENDS" ${ARGN})
  if(NOT BUILD_TESTING)
    return()
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 240)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cc)
  foreach(source ${sources})
    get_filename_component(stem ${source} NAME_WE)
    set(target ${name}_${stem})
    add_executable(${target} ${source})
    target_include_directories(${target} PRIVATE tests)
    target_compile_definitions(${target} PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=${target})
    target_link_libraries(${target} PRIVATE ${name} Boost::unit_test_framework ${ARG_DEPENDS})
    add_test(NAME ${target} COMMAND ${target})
    set_tests_properties(${target} PROPERTIES TIMEOUT ${ARG_TIMEOUT} ENVIRONMENT
                                              "RC_PARAMS=seed=20261204;TSAN_OPTIONS=suppressions=${CMAKE_SOURCE_DIR}/cmake/tsan.supp")
    if(stem MATCHES "scale_test$")
      # These tests compare processor times, which other tests on the same cores
      # and caches distort.
      set_tests_properties(${target} PROPERTIES RUN_SERIAL ON)
    endif()
  endforeach()
endfunction()

# shallotbank_benchmarks(NAME DEPENDS ...): one executable for each benchmarks/*.cc.
function(shallotbank_benchmarks name)
  if(NOT SHALLOTBANK_BENCHMARKS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/benchmarks/*.cc)
  foreach(source ${sources})
    get_filename_component(stem ${source} NAME_WE)
    add_executable(${stem} ${source})
    target_include_directories(${stem} PRIVATE tests)
    target_link_libraries(${stem} PRIVATE ${name} ${ARG_DEPENDS})
  endforeach()
endfunction()
