package revision

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// stepsPerCheck is the mean number of transitions per check of a model.
const stepsPerCheck = "150"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.steps", stepsPerCheck); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}
