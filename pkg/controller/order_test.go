package controller

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarsill/medlarsill/pkg/capacity"
	"github.com/medlarsill/medlarsill/pkg/config"
)

// Guards against an order for a service that the configuration no longer has, which is
// reported as a lost duty.
func TestOrder_UnknownServiceIsNotALostDuty(t *testing.T) {
	g := NewWithT(t)
	err := (&Controller{}).order(context.Background(), &config.Envelope{Document: config.Document{}}, capacity.Action{Service: "gone"})
	g.Expect(err).To(MatchError(ErrUnknownService))
	g.Expect(err).NotTo(MatchError(ErrNotHolder))
}
