#!/usr/bin/env bash
# Compiles the stand-ins of the cases (standin/*.java) into out/. Needs a JDK 17 only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
javac -nowarn --release 17 -d out standin/*.java
