#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac --release 17 -d target/review review/standins/*.java
