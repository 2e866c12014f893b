// Package bubble runs rapid's property tests in the virtual time of
// testing/synctest. Only tests import it.
package bubble

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// rapidInvalid is the type of the value that rapid panics with to discard a draw.
const rapidInvalid = "rapid.invalidData"

// Run runs a property in virtual time. Panics, including those by which rapid
// reports failures, are raised again in the caller's goroutine, where rapid
// recovers them.
func Run(t *testing.T, property func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		property()
	})
	// rapid identifies a failure by the position of its panic, so failures are raised
	// on another line than discarded draws.
	if fmt.Sprintf("%T", failure) == rapidInvalid {
		panic(failure)
	}
	if failure != nil {
		panic(failure)
	}
}
