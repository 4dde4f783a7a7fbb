#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs only the JDK.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
jdk=$("$root/bin/find-jdk")
mkdir -p "$root/target/review"
"$jdk/bin/javac" -Xlint:all -d "$root/target/review" "$root"/review/standins/*.java
