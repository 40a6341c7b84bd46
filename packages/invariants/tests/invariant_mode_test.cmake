# Fails unless the program with a planted violation fails, by its second test alone and by reason of the violation.
# Example: cmake -DPROGRAM=build/bin/violating-program -P invariant_mode_test.cmake
execute_process(COMMAND ${PROGRAM} RESULT_VARIABLE CODE OUTPUT_VARIABLE OUTPUT ERROR_VARIABLE LOG)
if(NOT CODE EQUAL 1)
  message(FATAL_ERROR "the program ended with ${CODE}, not with 1:\n${OUTPUT}")
endif()
foreach(TEXT "[       OK ] ViolatingProgram.AddsNoViolation" "invariant violated: attempts_within_limit, 1 times"
        "[  FAILED  ] ViolatingProgram.AddsAViolation" " 1 FAILED TEST")
  string(FIND "${OUTPUT}" "${TEXT}" AT)
  if(AT EQUAL -1)
    message(FATAL_ERROR "'${TEXT}' is missing in:\n${OUTPUT}")
  endif()
endforeach()
set(LOGGED "invariant_violated invariant=attempts_within_limit call=7 runner=\"model-1\" now_ms=5 measured=3 bound=2")
string(FIND "${LOG}" "${LOGGED}" AT)
if(AT EQUAL -1)
  message(FATAL_ERROR "'${LOGGED}' is missing in the log:\n${LOG}")
endif()
