GO ?= go
SEED ?= 1
STEPS ?= 100

.PHONY: build test fmt vet lint unit demo up faults measure soak soak-gateway soak-drawn soak-upgrade bench

build:
	$(GO) build -o bin/ ./cmd/...

fmt:
	@files=$$(gofmt -l cmd pkg platform); if [ -n "$$files" ]; then echo "not formatted: $$files"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

unit:
	SEED=$(SEED) STEPS=$(STEPS) $(GO) test -count=1 ./...

test: fmt vet lint unit

# Serves both organisations in turn under faults; non-zero if a promise broke.
demo: build
	scripts/demo.sh

# Starts one organisation's processes and stays up until Ctrl-C: make up ORG=haba
ORG ?= szallashallo
up: build
	scripts/up.sh $(ORG)

# Runs the real processes under each case of faults: make faults CASES="wave kill_entry"
faults: build
	scripts/faults.sh $(CASES)

# Measures the policies on the same seeded traffic; rewrites the tables of docs/MEASUREMENTS.md.
measure: build
	scripts/measure.sh

# Runs the property tests with another seed and more steps: make soak SEED=7 STEPS=20000
SOAK ?= ./pkg/entry ./pkg/ledger ./pkg/revision ./pkg/lease ./pkg/membership ./pkg/admin ./pkg/admit ./pkg/place ./pkg/retry ./pkg/controller ./pkg/capacity ./pkg/relay ./pkg/ratelimit ./pkg/allowance
soak:
	SEED=$(SEED) STEPS=$(STEPS) $(GO) test -timeout 0 -count=1 $(SOAK)

# Runs real gateway processes under faults in series: make soak-gateway SEEDS="1 2 3" SOAK_S=60
SEEDS ?= $(SEED)
SOAK_S ?= 60
soak-gateway:
	for seed in $(SEEDS); do SEED=$$seed SOAK_S=$(SOAK_S) $(GO) test -count=1 -v -run TestSoak ./cmd/medlarsill-gateway || exit 1; done

# Plays seeds of the soak that draws its disruptions, some side by side: make soak-drawn SEEDS="1 2 3" JOBS=3
JOBS ?= 1
soak-drawn:
	mkdir -p out/soak
	$(GO) build -o out/soak/medlarsill-gateway ./cmd/medlarsill-gateway
	$(GO) test -c -o out/soak/drawn.test ./cmd/medlarsill-gateway
	SOAK_PROGRAM=$(CURDIR)/out/soak/medlarsill-gateway scripts/soak-drawn.sh out/soak/drawn.test $(JOBS) $(SEEDS)

# Upgrades real gateway processes from the build of an older commit, both side by side, under
# faults: make soak-upgrade BEFORE=COMMIT SEEDS="1 2 3" SOAK_S=60
BEFORE ?= HEAD~1
soak-upgrade:
	dir=$$(mktemp -d) && git archive $(BEFORE) | tar -x -C $$dir && \
		(cd $$dir && $(GO) build -o $(CURDIR)/out/medlarsill-gateway-before ./cmd/medlarsill-gateway); \
		status=$$?; rm -rf $$dir; exit $$status
	for seed in $(SEEDS); do SEED=$$seed SOAK_S=$(SOAK_S) BEFORE_PROGRAM=$(CURDIR)/out/medlarsill-gateway-before $(GO) test -count=1 -v -run TestSoak_Upgrade ./cmd/medlarsill-gateway || exit 1; done

# Speed and memory of an entry against a direct call, and of the decisions.
bench:
	$(GO) test -run xxx -bench . ./pkg/entry ./pkg/place ./pkg/admit ./pkg/config
