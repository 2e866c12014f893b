// Package configlint finds parts of a valid configuration that have no effect or
// contradict each other. Errors are found by package config; the findings here are
// warnings. The package only reads the document.
package configlint

import (
	"fmt"

	"github.com/medlarsill/medlarsill/pkg/config"
	"github.com/medlarsill/medlarsill/pkg/strictjson"
)

// Rule is the stable name of a rule, for scripts.
type Rule string

// Finding is one warning. Check sets neither File nor Line.
type Finding struct {
	Rule Rule `json:"rule"`
	strictjson.Problem
}

// rules lists all rules with their functions.
var rules = []struct {
	name  Rule
	check func(*config.Document) []strictjson.Problem
}{
	{"key-of-empty-text", checkEmptyKeys},
	{"call-style-path", checkCallStylePaths},
	{"call-style-header", checkCallStyleHeaders},
	{"call-style-field", checkCallStyleFields},
	{"call-style-target", checkCallStyleTargets},
	{"idempotency-header-unused", checkIdempotencyHeaders},
	{"call-never-matches", checkCallPrefixes},
	{"call-shadowed", checkShadowedCalls},
	{"workspace-without-place", checkWorkspacePlaces},
	{"workspace-data-centre-unused", checkWorkspaceDataCentres},
	{"service-unused", checkUnusedServices},
	{"machine-class-unused", checkUnusedClasses},
	{"data-centre-unused", checkUnusedDataCentres},
	{"data-centre-closed", checkClosedDataCentres},
	{"service-data-centre-unused", checkServiceDataCentres},
	{"preset-duplicate", checkDuplicatePresets},
	{"priority-unused", checkModelPriorities},
	{"target-unused", checkPlainTargets},
	{"target-beyond-deadline", checkTargets},
	{"deadline-beyond-retention", checkRetention},
	{"capacity-disjoint", checkDisjointCapacity},
	{"min-below-places", checkMinBelowPlaces},
	{"min-above-limits", checkMinAboveLimits},
	{"reclaimable-unused", checkReclaimableShares},
	{"price-inverted", checkPrices},
	{"weights-zero", checkWeights},
}

// Check returns the findings of all rules. The document must be valid.
func Check(d *config.Document) []Finding {
	var out []Finding
	for _, rule := range rules {
		for _, p := range rule.check(d) {
			out = append(out, Finding{Rule: rule.name, Problem: p})
		}
	}
	return out
}

// findings collects the findings of one rule.
type findings []strictjson.Problem

func (f *findings) add(field, format string, args ...any) {
	*f = append(*f, strictjson.Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

// at returns a field path.
func at(format string, indices ...any) string { return fmt.Sprintf(format, indices...) }
