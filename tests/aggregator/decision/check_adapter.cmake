# Feeds INPUT to HOST. With EXPECTED, the output must be the same and the exit code zero; without, the host must
# exit with an error and say what was wrong.
execute_process(COMMAND ${HOST} INPUT_FILE ${INPUT} OUTPUT_VARIABLE out ERROR_VARIABLE err RESULT_VARIABLE code)
if(DEFINED EXPECTED)
  file(READ ${EXPECTED} expected)
  if(NOT code EQUAL 0 OR NOT out STREQUAL expected)
    message(FATAL_ERROR "exit ${code}\n--- got\n${out}--- expected\n${expected}--- error\n${err}")
  endif()
elseif(code EQUAL 0 OR NOT err MATCHES "line [0-9]+: ")
  message(FATAL_ERROR "expected a plain failure; exit ${code}, error: ${err}")
endif()
