# Plain make, no configure step. `make help` lists the targets.

CC = gcc
BUILD = build
SAN =
CSTD = -std=gnu11 -D_GNU_SOURCE
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes
OPT = -O2 -g
INCLUDES = -Ilib -Iplatform
CFLAGS = $(CSTD) $(WARN) $(OPT) $(INCLUDES) $(shell pkg-config --cflags $(MODULES))
LDLIBS = $(shell pkg-config --libs $(MODULES)) $(LIBS) -lpthread -lm

# Modules of pkg-config, and headers and libraries without one. pkg-config
# prints no flags at all if one module of a call is missing: each object asks
# only for the modules of its part of the product.
EDGE_MODULES = json-c libtirpc libcrypto liburcu-bp
EDGE_HEADERS = ev.h http_parser.h uthash.h xxhash.h zlib.h
EDGE_LIBS = -lev -lhttp_parser -lxxhash -lz
PROGRAM_MODULES = $(EDGE_MODULES) libcurl log4c
PROGRAM_HEADERS = $(EDGE_HEADERS) civetweb.h
TEST_MODULES = $(PROGRAM_MODULES) cunit
# Of what is built, unless its target says otherwise.
MODULES = $(PROGRAM_MODULES)
LIBS = $(EDGE_LIBS) -lcivetweb

ifneq ($(SAN),)
BUILD = build-$(SAN)
OPT = -O1 -g -fno-omit-frame-pointer -fsanitize=$(SAN)
LDLIBS += -fsanitize=$(SAN)
endif

# The entry on the platform needs only these, and no more of the libraries.
EDGE_DIRS = io store duty fleet model rollout stream edge
EDGE_SRC = $(filter-out lib/edge/explain.c lib/edge/losses.c lib/edge/loadtab.c,$(foreach d,$(EDGE_DIRS),$(wildcard lib/$(d)/*.c))) \
	$(wildcard platform/*.c) programs/edge.c \
	$(addprefix lib/base/,buf.c clk.c err.c hsh.c jlog.c jsn.c met.c rnd.c shb.c zip.c) \
	lib/config/cfg.c lib/config/force.c lib/config/vfy.c lib/limit/acct.c lib/limit/again.c lib/limit/shed.c \
	lib/member/gsp.c lib/member/named.c lib/member/ovl.c lib/member/prs.c lib/member/rows.c \
	lib/member/rank.c lib/request/fatal.c lib/request/fatal_evidence.c lib/request/fatal_rows.c \
	lib/request/fatal_told.c lib/request/leave.c lib/request/rq.c lib/route/parts.c \
	lib/route/pick.c lib/route/ramp.c lib/route/reach.c
EDGE_OBJ = $(EDGE_SRC:%.c=$(BUILD)/%.o)

LIB_SRC = $(wildcard lib/*/*.c) $(wildcard platform/*.c)
LIB_OBJ = $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB = $(BUILD)/libmarldock.a

PROGRAMS = entry control ctl load
PROGRAM_BIN = $(BUILD)/bin/marldock-entry $(BUILD)/bin/marldock-control \
	$(BUILD)/bin/marldockctl $(BUILD)/bin/marldock-load
STANDINS = $(patsubst tests/standin/%.c,$(BUILD)/bin/standin-%,\
	$(filter-out tests/standin/common.c,$(wildcard tests/standin/*.c)))
TESTS = $(patsubst tests/test_%.c,$(BUILD)/tests/test_%,$(wildcard tests/test_*.c))
BENCHES = $(patsubst bench/bench_%.c,$(BUILD)/bench/bench_%,$(wildcard bench/bench_*.c))
FUZZERS = $(patsubst tests/fuzz/fuzz_%.c,$(BUILD)/tests/fuzz_%,$(wildcard tests/fuzz/fuzz_*.c))
TEST_LIB_SRC = $(wildcard tests/support/*.c)
TEST_LIB_OBJ = $(TEST_LIB_SRC:%.c=$(BUILD)/%.o)
PROGRAM_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out $(EDGE_SRC),$(wildcard programs/*.c)))
TEST_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/*.c tests/*/*.c bench/*.c))

.PHONY: all help install-deps demo check soak bench capacity format \
	format-check lint clean

all: $(PROGRAM_BIN) $(BUILD)/bin/marldock-edge \
	$(BUILD)/bin/marldock-explain $(STANDINS) $(BUILD)/bin/cut.so

.PHONY: edge
edge: $(BUILD)/bin/marldock-edge

$(BUILD)/bin/marldock-edge: LIBS = $(EDGE_LIBS)
$(BUILD)/bin/marldock-edge $(EDGE_OBJ): MODULES = $(EDGE_MODULES)
$(BUILD)/bin/marldock-edge: $(EDGE_OBJ)
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS)

help:
	@echo "make                build programs and stand-ins"
	@echo "make demo           both halves of the README: install, build, show"
	@echo "make check          the tests (SAN=address or SAN=thread for sanitizers)"
	@echo "make soak SEEDS=N   more seeded schedules of the safety rules"
	@echo "make bench          measurements, naive and current side by side"
	@echo "make capacity       slopes, and the tables of docs/CAPACITY.md"
	@echo "make packages-check the build uses only packages of deploy/system.toml"
	@echo "make format-check   clang-format; make lint: clang-tidy"

# Stop before the first compiler error where a library is missing.
.PHONY: require-edge require-programs require-tests
require-edge:
	@CC="$(CC)" scripts/require.sh $(EDGE_MODULES) $(EDGE_HEADERS)
require-programs: require-edge
	@CC="$(CC)" scripts/require.sh $(PROGRAM_MODULES) $(PROGRAM_HEADERS)
require-tests: require-programs
	@CC="$(CC)" scripts/require.sh $(TEST_MODULES)

$(EDGE_OBJ): | require-edge
$(filter-out $(EDGE_OBJ),$(LIB_OBJ)) $(PROGRAM_OBJ): | require-programs
$(TEST_OBJ): | require-tests
$(TEST_OBJ): MODULES = $(TEST_MODULES)
$(TEST_OBJ): INCLUDES += -Itests -Ibench

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

# Generated code is not held to our warnings.
$(BUILD)/lib/net/peer_%.o: WARN = -w

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/bin/marldock-%: $(BUILD)/programs/%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)

$(BUILD)/bin/marldock-load: $(BUILD)/programs/load_request.o \
	$(BUILD)/programs/load_report.o

$(BUILD)/bin/marldockctl: $(BUILD)/programs/ctl.o $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)

$(BUILD)/bin/standin-%: $(BUILD)/tests/standin/%.o $(BUILD)/tests/standin/common.o $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)

$(BUILD)/bin/cut.so: tests/preload/cut.c
	@mkdir -p $(@D)
	$(CC) $(CSTD) $(WARN) -O2 -g -shared -fPIC -o $@ $< -ldl

$(BUILD)/bin/standin-platform: $(BUILD)/tests/support/slow_link.o \
	$(BUILD)/tests/support/statements.o $(BUILD)/tests/support/poison.o \
	$(BUILD)/tests/support/run_log.o
$(BUILD)/bin/standin-caller: $(BUILD)/programs/load_request.o
$(BUILD)/bin/standin-held_callers $(BUILD)/bin/standin-rejoiners: \
	$(BUILD)/tests/support/kept.o

$(TESTS) $(FUZZERS): MODULES = $(TEST_MODULES)
$(BUILD)/tests/test_%: $(BUILD)/tests/test_%.o $(TEST_LIB_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)
$(BUILD)/bench/bench_%: $(BUILD)/bench/bench_%.o $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)
$(BUILD)/bench/bench_policy: $(BUILD)/bench/policy_world.o \
	$(BUILD)/bench/fake_fleet.o
$(BUILD)/bench/bench_scale: $(BUILD)/bench/scale_wire.o
$(BUILD)/tests/fuzz_%: $(BUILD)/tests/fuzz/fuzz_%.o $(TEST_LIB_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) -o $@ $(filter %.o,$^) $(LIB) $(LDLIBS)

install-deps:
	scripts/install-deps.sh

demo: install-deps
	$(MAKE) all
	scripts/demo.sh
	BIN=$(BUILD)/bin scripts/edge_demo.sh

check: install-deps
	$(MAKE) all tests-bin
	scripts/check.sh $(BUILD)

.PHONY: tests-bin
tests-bin: $(TESTS) $(FUZZERS)

SEEDS = 20000
SOAKED = cfg duties mir acct vfy fatal era
soak: $(BUILD)/tests/test_soak $(SOAKED:%=$(BUILD)/tests/test_%) \
	$(BUILD)/tests/fuzz_edge $(BUILD)/tests/fuzz_store
	$(BUILD)/tests/test_soak $(SEEDS)
	for t in $(SOAKED); do \
		UNIT_SEEDS=$(SEEDS) $(BUILD)/tests/test_$$t || exit 1; done
	$(BUILD)/tests/fuzz_edge $$(($(SEEDS) * 10))
	$(BUILD)/tests/fuzz_store $$(($(SEEDS) * 10)) $$(shuf -i 1-999999 -n 1)

SOAK_SECONDS = 10
SOAK_SEEDS = $(shell shuf -i 1000-999999 -n 10)
.PHONY: fault-soak
fault-soak: all
	BIN=$(BUILD)/bin scripts/fault_soak.sh $(SOAK_SECONDS) $(SOAK_SEEDS)

SHUTDOWN_SECONDS = 30
.PHONY: shutdown-soak
shutdown-soak: all
	BIN=$(BUILD)/bin scripts/shutdown_soak.sh $(SHUTDOWN_SECONDS) $(SOAK_SEEDS)

DOCUMENT_SECONDS = 20
.PHONY: document-soak
document-soak: all
	BIN=$(BUILD)/bin scripts/document_soak.sh $(DOCUMENT_SECONDS) $(SOAK_SEEDS)

REJOIN_SECONDS = 8
.PHONY: rejoin-soak
rejoin-soak: all
	BIN=$(BUILD)/bin scripts/rejoin_soak.sh $(REJOIN_SECONDS) $(SOAK_SEEDS)

bench: all $(BENCHES)
	scripts/bench.sh $(BUILD)

capacity: all $(BENCHES)
	scripts/capacity.sh $(BUILD)

SOURCES = $(filter-out lib/net/peer.h lib/net/peer_xdr.c lib/net/peer_svc.c,\
	$(wildcard lib/*/*.[ch] programs/*.[ch] platform/*.[ch] bench/*.[ch] tests/*.[ch] \
	tests/*/*.[ch]))

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run -Werror $(SOURCES)

.PHONY: packages-check
packages-check:
	scripts/check_packages.py

lint: MODULES = $(TEST_MODULES)
lint: INCLUDES += -Itests -Ibench
lint:
	scripts/lint.sh "$(CFLAGS)" $(filter %.c,$(SOURCES))

clean:
	rm -rf build build-address build-thread

-include $(wildcard $(BUILD)/*/*.d $(BUILD)/*/*/*.d $(BUILD)/platform/*.d)
