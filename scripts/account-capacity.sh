#!/usr/bin/env bash
# Measures what the account costs per record, and export and verification of 200,000 records. Needs a build (mvn package).
# The log settings are those of the command line, so that lines of flushes do not count.
set -euo pipefail
home=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
[ -f "$home/cli/target/classpath.txt" ] || { echo "account-capacity: not built; run mvn package in $home" >&2; exit 1; }
exec java -Xmx1g -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "$home/account/target/classes:$home/cli/target/classes:$(cat "$home/cli/target/classpath.txt")" \
  org.masticcroft.account.capacity.CapacityMain
