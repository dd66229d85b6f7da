#!/bin/sh
# Builds the binary and its class-data archive under target/, without compiling any test.
set -eu
cd "$(dirname "$0")/.."
mvn -B -q -Dmaven.test.skip=true -Dcheckstyle.skip -Dspring-javaformat.skip package
mkdir -p target
cp app/target/snowwind-app-*-all.jar target/snowwind.jar
rm -f target/snowwind.jsa
# A short run that loads what a gateway loads; the archive makes its start faster.
java -XX:ArchiveClassesAtExit=target/snowwind.jsa -XX:+UseSerialGC -jar target/snowwind.jar gateway --rehearse >target/rehearsal.log 2>&1
