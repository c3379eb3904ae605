#!/bin/bash
# Builds a fuzz target with clang and runs it for a bounded number of inputs with a fixed seed:
#   run.sh processor|peers BUILD-FOLDER SEEDS-PROGRAM [RUNS]
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
target=$1
folder=$2/fuzz-$target
mkdir -p "$folder/processor" "$folder/peers"
"$3" "$folder/processor" "$folder/peers"
nghttp2=$(find /usr/lib -name libnghttp2.a | head -1)
protobuf=$(find /usr/lib -name libprotobuf-lite.a | head -1)
case $target in
processor)
  sources=("$root"/src/admission/*.cpp "$root"/src/engine/*.cpp "$root"/src/http2/*.cpp "$root"/src/extproc/*.cpp
           "$root"/src/json/boost_json.cpp "$2/generated/external_processor.pb.cc")
  libraries=("$nghttp2" "$protobuf")
  ;;
peers)
  sources=("$root"/src/membership/*.cpp "$2/generated/peer_messages.pb.cc")
  libraries=("$protobuf")
  ;;
esac
sources+=("$here/${target}_fuzz.cpp")
flags=(-std=c++20 -O1 -g1 -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -DBOOST_JSON_NO_LIB
       -DBOOST_CONTAINER_NO_LIB -I"$root/include" -I"$root/src" -I"$root" -isystem "$2/generated")
pids=()
objects=()
for source in "${sources[@]}"; do
  path=${source#"$root"/}
  object=$folder/${path//\//_}.o
  objects+=("$object")
  clang++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
  [ $((${#pids[@]} % 4)) -ne 0 ] || wait "${pids[@]}"
done
for pid in "${pids[@]}"; do wait "$pid"; done
clang++ "${flags[@]}" "${objects[@]}" "${libraries[@]}" -lpthread -o "$folder/fuzz"
exec "$folder/fuzz" -seed=7 -runs="${4:-5000}" -max_len=4096 -timeout=30 -rss_limit_mb=2048 \
  -print_final_stats=1 "$folder/$target"
