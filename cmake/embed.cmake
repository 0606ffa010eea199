# cmake -DFROM=file -DTO=header -DNAME=kName -P embed.cmake: a text file as a string literal.
file(READ ${FROM} text)
string(LENGTH "${text}" size)
if(size GREATER 60000)
  message(FATAL_ERROR "${FROM} is too long for one literal")
endif()
file(WRITE ${TO}.new "// Made from ${NAME}'s source at the build.\n#pragma once\n\nconstexpr char ${NAME}[] = R\"embedded(${text})embedded\";\n")
file(COPY_FILE ${TO}.new ${TO} ONLY_IF_DIFFERENT)
