#!/bin/sh
# The snowwind binary: this header, then the jar. Flags chosen by `snowwind measure footprint`; see docs/design/footprint.md.
case "$1" in
  entry|agent|gateway) flags="-XX:+UseSerialGC -Xmx48m -Xss256k -XX:TieredStopAtLevel=1 -XX:MaxDirectMemorySize=24m -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=64m" ;;
  try|standin) flags="-XX:+UseSerialGC -Xmx512m -Xss512k" ;;
  measure) flags="-XX:+UseParallelGC -Xmx3g -Xss256k" ;;
  *) flags="-XX:+UseSerialGC -Xmx64m -XX:TieredStopAtLevel=1 -Xshare:auto" ;;
esac
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" $flags -Dio.netty.leakDetection.level=disabled -jar "$0" "$@"
