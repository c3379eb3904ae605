# Checks that the documentation for operators contains the outcome table as the program prints it.
execute_process(COMMAND "${PROGRAM}" --outcomes OUTPUT_VARIABLE table COMMAND_ERROR_IS_FATAL ANY)
file(READ "${ROOT}/docs/ops/external-processor.md" page)
string(FIND "${page}" "${table}" at)
if(at EQUAL -1)
  message(FATAL_ERROR "docs/ops/external-processor.md does not contain the output of cometfold --outcomes:\n${table}")
endif()
