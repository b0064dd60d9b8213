# Language level, warnings, sanitizers and compiler cache.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

add_compile_options(-Wall -Wextra -Werror -Wno-deprecated-declarations
  -Wno-missing-field-initializers)

if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU" AND CMAKE_BUILD_TYPE STREQUAL "Release")
  # g++ 12 reports these falsely at -O3, in std::string and std::optional.
  add_compile_options(-Wno-restrict -Wno-maybe-uninitialized)
endif()

set(MUSTARDSLIP_SANITIZE "" CACHE STRING
  "Sanitizers, as for -fsanitize (for example address,undefined or thread)")
if(MUSTARDSLIP_SANITIZE)
  add_compile_options(-fsanitize=${MUSTARDSLIP_SANITIZE}
    -fno-omit-frame-pointer -fno-sanitize-recover=all)
  add_link_options(-fsanitize=${MUSTARDSLIP_SANITIZE})
  if(MUSTARDSLIP_SANITIZE STREQUAL "thread")
    # Without optimisation the thread sanitizer takes minutes to parse an
    # inventory of 7,000 VMs (configuration_test). With it, the other sanitizers
    # compile half as long again.
    add_compile_options(-O1)
  endif()
endif()
