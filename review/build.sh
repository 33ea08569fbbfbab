#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts. Run the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-cases \
    -I. -Iinclude review/standins/cases.cpp \
    soak/{client,clock,deployment,host_links,http,instance,instance_statements}.cc \
    soak/{link_proxy,process_finder,promotion_call,service,sockets,store}.cc -lboost_json
