# Everything goes through Maven; these are the short names.
JAR = target/gingerspool.jar
# The daemon's limits for the virtual machine are kept in one place, the deploy file.
RUN = $(shell sed -n 's/^run = "exec \(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: build test lint run

build:
	mvn -B -q -DskipTests package

test:
	mvn -B verify

# Every compiler warning is an error (see pom.xml); besides, no tabs and no line over 110 columns.
lint:
	mvn -B -q clean test-compile
	@! grep -rnP '\t|^.{111,}|\s$$' --include=*.java src

# Wants GW_CONFIG, the path of the configuration file; see README.md.
run: build
	$(RUN)
