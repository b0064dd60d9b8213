# mustardslip_slice_test(NAME SOURCES...) builds one test program of a slice and
# registers it with CTest.

# The GoogleTest cases that KNOWN-RED.txt names with --gtest_filter=CASE are
# passed over, and no others.
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
  ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt known_red
  REGEX "--gtest_filter=[A-Za-z0-9]+\\.[A-Za-z0-9]+`")
list(TRANSFORM known_red REPLACE
  ".*--gtest_filter=([A-Za-z0-9]+\\.[A-Za-z0-9]+)`.*" "\\1")
list(JOIN known_red ":" MUSTARDSLIP_KNOWN_RED)

function(mustardslip_slice_test NAME)
  if(NOT MUSTARDSLIP_TESTS)
    return()
  endif()
  add_executable(${NAME} ${ARGN})
  target_link_libraries(${NAME} PRIVATE mustardslip_core GTest::gmock
    GTest::gtest_main rapidcheck)
  add_test(NAME ${NAME} COMMAND ${NAME})
  # The state machines run on one thread, so the thread sanitizer has nothing to
  # find in more sequences; 200 of configuration_test took over 130 s there.
  if(MUSTARDSLIP_SANITIZE MATCHES thread)
    set(sequences 10)
  else()
    set(sequences 200)
  endif()
  # RapidCheck takes its seed from the environment; CI needs the same verdict
  # each time.
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 900
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=${sequences};GTEST_FILTER=-${MUSTARDSLIP_KNOWN_RED}")
endfunction()
