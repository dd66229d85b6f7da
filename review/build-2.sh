#!/bin/sh
# Builds the stand-ins of the second review's scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/stand-ins-2/*.java
