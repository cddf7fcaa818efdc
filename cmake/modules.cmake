# tarragon_module(NAME DEPS...) defines a static library of all sources of the
# folder, including internal/ and types/, and, if tests/ has sources, the test
# program NAME_tests, which is registered with CTest.
function(tarragon_module NAME)
  file(GLOB SOURCES CONFIGURE_DEPENDS *.cpp internal/*.cpp types/*.cpp)
  file(GLOB TEST_SOURCES CONFIGURE_DEPENDS tests/*.cpp)
  set(LIBRARY tarragon_${NAME})
  if(SOURCES)
    add_library(${LIBRARY} STATIC ${SOURCES})
    target_link_libraries(${LIBRARY} PUBLIC ${ARGN})
    tarragon_precompile(${LIBRARY})
  else()
    add_library(${LIBRARY} INTERFACE)
    target_link_libraries(${LIBRARY} INTERFACE ${ARGN})
  endif()
  if(TEST_SOURCES AND NOT TARRAGON_ENTRY_ONLY)
    add_executable(${NAME}_tests ${TEST_SOURCES})
    target_compile_definitions(${NAME}_tests PRIVATE
      TARRAGON_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${NAME}_tests PRIVATE ${LIBRARY}
                          Boost::unit_test_framework)
    tarragon_known_red(${NAME}_tests FILTERS)
    add_test(NAME ${NAME}_tests COMMAND ${NAME}_tests ${FILTERS})
  endif()
endfunction()

# Sets FILTERS to the options of the test program PROGRAM that leave out the known
# failures of KNOWN-RED.txt: tools/known-red runs these.
function(tarragon_known_red PROGRAM FILTERS)
  set(OPTIONS)
  file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt RED
       REGEX "^red: ctest ${PROGRAM} ")
  foreach(LINE ${RED})
    string(REGEX REPLACE "^red: ctest ${PROGRAM} " "" CASE "${LINE}")
    list(APPEND OPTIONS "--run_test=!${CASE}")
  endforeach()
  set(${FILTERS} ${OPTIONS} PARENT_SCOPE)
endfunction()

# Precompiles the standard headers that nearly every source includes.
function(tarragon_precompile TARGET)
  if(TARRAGON_PCH)
    target_precompile_headers(${TARGET} PRIVATE
      <algorithm> <chrono> <cstdint> <functional> <map> <memory> <mutex>
      <optional> <string> <string_view> <unordered_map> <variant> <vector>)
  endif()
endfunction()
