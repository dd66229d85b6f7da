#!/bin/sh
# Builds the stand-ins of the scripts into review/build. Needs the JDK and target/snowwind.jar,
# which the build of the deploy file has made; nothing is fetched.
set -e
cd "$(dirname "$0")/.."
rm -rf review/build
mkdir -p review/build
javac -nowarn -cp target/snowwind.jar -d review/build review/stand-ins/*.java
