# snipeplank_package(NAME DEPENDS ...): library snipeplank_NAME from src/ and, where tests/*.cpp
# exist, a test program NAME_tests that ctest runs with a fixed RapidCheck seed.
function(snipeplank_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  if(sources)
    add_library(snipeplank_${name} STATIC ${sources})
    target_include_directories(snipeplank_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(snipeplank_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
  else()
    add_library(snipeplank_${name} INTERFACE)
    target_include_directories(snipeplank_${name} INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(snipeplank_${name} INTERFACE ${ARG_DEPENDS} Threads::Threads)
  endif()
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(tests)
    snipeplank_test(${name}_tests SOURCES ${tests} DEPENDS snipeplank_${name})
  endif()
endfunction()

# snipeplank_executable(NAME SOURCES ... DEPENDS ...): one CppUTest program.
function(snipeplank_executable name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/test_main.cpp)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests/support
                             ${CMAKE_CURRENT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} PkgConfig::CPPUTEST rapidcheck)
  # CppUTest's leak detection redefines `new`, which breaks placement new in other headers.
  target_compile_definitions(${name} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
endfunction()

# snipeplank_test(NAME SOURCES ... DEPENDS ...): one CppUTest program and its ctest entry.
function(snipeplank_test name)
  if(NOT SNIPEPLANK_TESTS)
    return()
  endif()
  snipeplank_executable(${name} ${ARGN})
  add_test(NAME ${name} COMMAND ${name})
endfunction()
