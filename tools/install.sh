#!/bin/bash
# Installs what is missing on Debian 12: compilers, the deploy file's packages and the tests' dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."

need=()
command -v g++ >/dev/null || need+=(g++)
command -v cmake >/dev/null || need+=(cmake)
command -v make >/dev/null || need+=(make)
command -v python3 >/dev/null || need+=(python3)
# clang++ is for the fuzz targets; node and npm below are for the wire check's third-party client.
command -v clang++ >/dev/null || need+=(clang)
# Formatter and linter. The version is fixed because their findings depend on it.
for tool in clang-format-14 clang-tidy-14; do
  command -v "$tool" >/dev/null || need+=("$tool")
done
command -v git >/dev/null || need+=(git)
ls /usr/lib/llvm-*/lib/clang/*/lib/linux/libclang_rt.fuzzer-x86_64.a >/dev/null 2>&1 || need+=(libclang-rt-14-dev)
command -v node >/dev/null || need+=(nodejs)
command -v npm >/dev/null || need+=(npm)
deploy=$(sed -n 's/^packages = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
for package in $deploy libgtest-dev libbenchmark-dev libgrpc++-dev protobuf-compiler-grpc; do
  dpkg -s "$package" >/dev/null 2>&1 || need+=("$package")
done
[ ${#need[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${need[@]}"
