// Package log creates the loggers of a process, which use logr over slog. The
// messages of each component of a process begin with the component's name.
package log

import (
	"context"
	"io"
	stdlog "log"
	"log/slog"

	"github.com/go-logr/logr"
)

// Format is the format of log lines.
type Format string

// Formats of log lines.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Logger creates the loggers of a process's components.
type Logger struct {
	handler  slog.Handler
	instance string
	level    *slog.LevelVar
	// writer is the writer of the log if it is a NonBlockingWriter, else nil.
	writer *NonBlockingWriter
}

// prefixed is a handler that puts a component's name before each message.
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

// New returns a logger of the named instance that writes to w. If w is a
// NonBlockingWriter, the logger's methods CountSuppressed, OmittedLines and Flush use
// it; otherwise they do nothing.
func New(w io.Writer, f Format, instance string) *Logger {
	level := new(slog.LevelVar)
	options := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(w, options)
	if f == JSON {
		h = slog.NewJSONHandler(w, options)
	}
	writer, _ := w.(*NonBlockingWriter)
	return &Logger{handler: h, instance: instance, level: level, writer: writer}
}

// CountSuppressed counts a line that the caller did not log because of a rate limit.
func (l *Logger) CountSuppressed() {
	if l.writer != nil {
		l.writer.CountSuppressed()
	}
}

// OmittedLines returns the number of lines that were omitted from the log since the
// start: those dropped because the reader was too slow, and those that a rate limit
// suppressed.
func (l *Logger) OmittedLines() (dropped, suppressed uint64) {
	if l.writer == nil {
		return 0, 0
	}
	return l.writer.OmittedLines()
}

// Flush waits until the lines logged so far are written, for flushTimeout at most.
func (l *Logger) Flush() {
	if l.writer != nil {
		l.writer.Flush()
	}
}

// Component returns the logger of the named component.
func (l *Logger) Component(name string) logr.Logger {
	return logr.FromSlogHandler(prefixed{l.handler, name}).WithValues("instance", l.instance)
}

// Standard returns a logger of the standard library's type for the named component.
// Its lines have the level info.
func (l *Logger) Standard(name string) *stdlog.Logger {
	return slog.NewLogLogger(prefixed{l.handler, name}, slog.LevelInfo)
}

// SetVerbosity sets the maximum verbosity (logr's V) of the lines that are logged; 0
// logs the fewest.
func (l *Logger) SetVerbosity(v int) { l.level.Set(slog.Level(-v)) }
