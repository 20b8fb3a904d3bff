// Package a has return statements for the analyzer's test.
package a

import (
	"context"
	"errors"

	"github.com/samber/oops"
)

var errFixed = errors.New("fixed")

func call() error { return nil }

func unchecked() (*int, error) {
	err := call()
	return nil, oops.Code("a").Wrap(err) // want `a nil or empty value is returned beside err wrapped`
}

func checkedElsewhere(again bool) (*int, error) {
	var err error
	if again {
		err = call()
	}
	if again || err != nil {
		return nil, oops.Code("a").Wrapf(err, "again") // want `a nil or empty value is returned beside err wrapped`
	}
	return new(int), nil
}

func emptyStruct() (struct{ n int }, error) {
	err := call()
	return struct{ n int }{}, oops.Code("a").Wrap(err) // want `a nil or empty value is returned`
}

func checked() (*int, error) {
	if err := call(); err != nil && err != errFixed {
		return nil, oops.Code("a").Wrap(err)
	}
	switch err := call(); {
	case errors.Is(err, errFixed):
		return nil, oops.Code("a").Wrap(err)
	case err != nil:
		return nil, oops.Code("a").Wrap(err)
	}
	err := call()
	if err == nil {
		return new(int), nil
	}
	return nil, oops.Code("a").Wrap(err)
}

func done(ctx context.Context) (*int, error) {
	select {
	case <-ctx.Done():
		return nil, oops.Code("a").Wrap(ctx.Err())
	default:
		return nil, oops.Code("a").Wrap(ctx.Err()) // want `a nil or empty value is returned`
	}
}

func fixed() (*int, error) { return nil, oops.Code("a").Wrapf(errFixed, "always") }

func withValue() (int, error) {
	err := call()
	return 1, oops.Code("a").Wrap(err) // a value is returned in either case
}
