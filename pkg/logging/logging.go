// Package logging creates the logger of a process from its settings.
package logging

import (
	"io"
	"log/slog"

	"github.com/medlarsill/medlarsill/pkg/settings"
)

// New returns a logger that writes to w. An unknown level is treated as "info".
func New(s settings.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.Level))
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "text" {
		return slog.New(slog.NewTextHandler(w, options))
	}
	return slog.New(slog.NewJSONHandler(w, options))
}
