// Package log owns the shape of the processes' logs: logr over slog, with a
// fixed prefix for each part of a process.
package log

import (
	"context"
	"io"
	stdlog "log"
	"log/slog"

	"github.com/go-logr/logr"
)

// Format is how log lines are written.
type Format string

// The log formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Logger makes the loggers of a process's parts.
type Logger struct {
	handler  slog.Handler
	instance string
	level    *slog.LevelVar
	bounded  *NonBlockingWriter
}

// prefixed puts a part's prefix before each message.
type prefixed struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (p prefixed) Handle(ctx context.Context, r slog.Record) error {
	r.Message = p.prefix + ": " + r.Message
	return p.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (p prefixed) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixed{p.Handler.WithAttrs(attrs), p.prefix}
}

// WithGroup implements slog.Handler.
func (p prefixed) WithGroup(name string) slog.Handler {
	return prefixed{p.Handler.WithGroup(name), p.prefix}
}

// New returns a logger for the named instance that writes to w.
func New(w io.Writer, f Format, instance string) *Logger {
	level := new(slog.LevelVar)
	options := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(w, options)
	if f == JSON {
		h = slog.NewJSONHandler(w, options)
	}
	bounded, _ := w.(*NonBlockingWriter)
	return &Logger{handler: h, instance: instance, level: level, bounded: bounded}
}

// Omit counts a line that was left out for the rate of lines.
func (l *Logger) CountSuppressed() {
	if l.bounded != nil {
		l.bounded.CountSuppressed()
	}
}

// Counts returns how many lines were left out since the start, because the
// reader was too slow and because there were too many.
func (l *Logger) DroppedLines() (dropped, omitted uint64) {
	if l.bounded == nil {
		return 0, 0
	}
	return l.bounded.DroppedLines()
}

// Flush waits a short time for the lines so far to be read.
func (l *Logger) Flush() {
	if l.bounded != nil {
		l.bounded.Flush()
	}
}

// Part returns the logger of one part; the part is its prefix.
func (l *Logger) Component(name string) logr.Logger {
	return logr.FromSlogHandler(prefixed{l.handler, name}).WithValues("instance", l.instance)
}

// Standard returns a logger for libraries that take the standard library's.
func (l *Logger) Standard(part string) *stdlog.Logger {
	return slog.NewLogLogger(prefixed{l.handler, part}, slog.LevelInfo)
}

// SetVerbosity sets how much is logged, 0 for the least.
func (l *Logger) SetVerbosity(v int) { l.level.Set(slog.Level(-v)) }
