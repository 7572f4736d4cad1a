#!/usr/bin/env bash
# Compiles the stand-ins of the cases 6 to 10 (standin2/*.java) into standin2/out/. Needs a JDK 17 only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p standin2/out
javac -nowarn --release 17 -d standin2/out standin2/*.java
