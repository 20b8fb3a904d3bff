// Package oops has the calls that the analyzer looks for.
package oops

// Builder stands for the library's type.
type Builder struct{}

// Code returns a builder.
func Code(string) Builder { return Builder{} }

// Wrap returns nil for a nil error.
func (Builder) Wrap(err error) error { return err }

// Wrapf returns nil for a nil error.
func (Builder) Wrapf(err error, _ string, _ ...any) error { return err }
