# What developers and CI call. Each target installs what is missing first.
.PHONY: run run-cluster run-extproc check install build tools explore bench clean

install:
	@tools/install.sh

# Builds the tools and starts one gateway between stand-ins on loopback; Ctrl-C ends it all.
run: tools
	@build/cometfold-demo build/cometfold

# The external processor between a stand-in proxy and stand-in hosts, a few requests, and the end.
run-extproc: tools
	@build/proxy-emulator tour build/cometfold

# Five gateways that know each other: one is killed, two are cut off, all heals; what each believes. Half a minute.
run-cluster: tools
	@build/cometfold-cluster run examples/cluster/tour.toml --show --program build/cometfold

# What the platform builds.
build: install
	@sh -c "$$(sed -n 's/^build = "\(.*\)".*/\1/p' deploy/balancer.toml)"

# And what developers use beside it.
tools: install
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DCOMETFOLD_TOOLS=ON
	cmake --build build -j4

# All tests: the deploy file's build and programs as the platform starts them, then everything under sanitizers.
check: install
	@tools/check.sh

# The whole exploration: some minutes on two cores.
explore: tools
	build/cometfold-explore --threads 2

bench: tools
	build/gateway_bench
	build/micro_bench
	build/extproc_bench

clean:
	rm -rf build build-test
