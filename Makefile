# Entry points for developers and CI. Targets install missing dependencies first.
.PHONY: run run-cluster run-extproc check install build tools explore bench clean

install:
	@tools/install.sh

# Builds the tools and runs one gateway between emulated hosts and discovery on loopback until Ctrl-C.
run: tools
	@build/cometfold-demo build/cometfold

# Runs the external processor between an emulated proxy and emulated hosts for a few requests.
run-extproc: tools
	@build/proxy-emulator tour build/cometfold

# Runs a cluster of five gateways in which one is killed and two are partitioned and reconnected, and shows each
# member's view. Takes half a minute.
run-cluster: tools
	@build/cometfold-cluster run examples/cluster/tour.toml --show --program build/cometfold

# Builds the program as the platform does, with the deploy file's command.
build: install
	@sh -c "$$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)"

# Builds the program with the developers' tools.
tools: install
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DCOMETFOLD_TOOLS=ON
	cmake --build build -j4

# Runs all tests: the deploy file's build and commands as the platform runs them, then all tests under sanitizers.
check: install
	@tools/check.sh

# Runs the full state-space exploration, which takes some minutes on two cores.
explore: tools
	build/cometfold-explore --threads 2

bench: tools
	build/gateway_bench
	build/micro_bench
	build/extproc_bench

clean:
	rm -rf build build-test
