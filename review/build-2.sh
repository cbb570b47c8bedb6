#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use the standard library only, so this needs no
# network. The project itself is built with the command of the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --locked --offline
