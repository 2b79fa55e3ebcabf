#!/usr/bin/env bash
# Measures the cost of the account per record, and export and verification of 200,000 records. Needs a build (mvn package).
# Uses the log settings of the command line, so that writing log lines about flushes is not measured.
set -euo pipefail
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
[ -f "$home/cli/target/classpath.txt" ] || { echo "account-capacity: not built; run mvn package in $home" >&2; exit 1; }
exec java -Xmx1g -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "$home/account/target/classes:$home/cli/target/classes:$(cat "$home/cli/target/classpath.txt")" \
  org.masticcroft.account.capacity.CapacityMain
