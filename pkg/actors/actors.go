// Package actors runs the components of a process together. When one of them
// returns, the others are stopped.
package actors

import (
	"context"
	"errors"
	"syscall"

	"github.com/oklog/run"
)

// Actor is a component that runs until its context is done.
type Actor func(ctx context.Context) error

// Run runs the actors until the first one returns, then cancels the contexts of
// the others and waits for them. It returns the first actor's error, or nil if
// that actor stopped because of a signal.
func Run(list ...Actor) error {
	var g run.Group
	for _, a := range list {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return a(ctx) }, func(error) { cancel() })
	}
	err := g.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}

// Signals is an actor that returns when the process receives SIGTERM or SIGINT,
// or when ctx is done.
func Signals(ctx context.Context) error {
	execute, interrupt := run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer interrupt(nil)
	return execute()
}
