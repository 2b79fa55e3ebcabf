#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts with the JDK alone. Needs neither a network nor Maven.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
