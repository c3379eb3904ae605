# The page for operators must hold the outcome table as the program prints it.
execute_process(COMMAND "${PROGRAM}" --outcomes OUTPUT_VARIABLE table COMMAND_ERROR_IS_FATAL ANY)
file(READ "${ROOT}/docs/ops/external-processor.md" page)
string(FIND "${page}" "${table}" at)
if(at EQUAL -1)
  message(FATAL_ERROR "docs/ops/external-processor.md does not hold what cometfold --outcomes prints:\n${table}")
endif()
