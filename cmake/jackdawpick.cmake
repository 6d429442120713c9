# jackdawpick_library(NAME name SOURCES ... DEPENDS ...): the static library jackdawpick_<name>.
function(jackdawpick_library)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_library(jackdawpick_${ARG_NAME} STATIC ${ARG_SOURCES})
  target_include_directories(jackdawpick_${ARG_NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(jackdawpick_${ARG_NAME} PUBLIC ${ARG_DEPENDS})
endfunction()

# jackdawpick_test(NAME name SOURCES ... DEPENDS ...): a GoogleTest program, one ctest test each.
# RapidCheck reads its seed from RC_PARAMS; the fixed seed gives every run the same verdict.
function(jackdawpick_test)
  if(JACKDAWPICK_DEPLOY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME} PRIVATE ${ARG_DEPENDS} GTest::gtest GTest::gtest_main)
  add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME})
  set_tests_properties(${ARG_NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
endfunction()

# jackdawpick_benchmark(NAME name SOURCES ... DEPENDS ...): a Google Benchmark program; not run by ctest.
function(jackdawpick_benchmark)
  if(JACKDAWPICK_DEPLOY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${ARG_NAME} ${ARG_SOURCES})
  target_link_libraries(${ARG_NAME} PRIVATE ${ARG_DEPENDS} benchmark::benchmark benchmark::benchmark_main)
endfunction()

# GCC reports uninitialised members of variants in code that the sanitizers have changed; builds without them keep the
# warning. For folders whose types hold variants of vectors and texts.
macro(jackdawpick_without_sanitizer_warnings)
  if(JACKDAWPICK_SANITIZE)
    add_compile_options(-Wno-maybe-uninitialized)
  endif()
endmacro()
