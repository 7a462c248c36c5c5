# Everything goes through Maven; these are the short names.
JAR = target/gingerspool.jar
# The operator's file that `make run` starts with.
FILE = deploy/example/alone.toml
# How it is built and the limits of the virtual machine are kept in one place, the deploy file.
BUILD = $(shell sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)
RUN = $(shell sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: build test lint run demo platform

build:
	$(BUILD)

test:
	mvn -B verify

# Every compiler warning is an error (see pom.xml); the format and the checks of checkstyle.xml besides.
lint:
	mvn -B -q clean test-compile spotless:check checkstyle:check

# With GW_CONFIG, the path of the platform's configuration, as the platform starts it; else with the example file.
run: build
	$(RUN) $(if $(GW_CONFIG),,--file $(FILE))

# A scheduler, a small stand-in fleet and a load with two faults for 20 s; ends with the rules and figures.
demo: build
	java -jar $(JAR) experiment deploy/experiments/demo.toml --out target/demo

# A small platform on loopback: three control nodes, two schedulers, a stand-in for the machines of instances.
platform: build
	java -jar $(JAR) platform
