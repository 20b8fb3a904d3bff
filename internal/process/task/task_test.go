package task

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

func TestTaskIsRestartedAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before, runs := Panics(), 0
		Run(t.Context(), logr.Discard(), "test", func(context.Context) {
			if runs++; runs < 3 {
				panic("fault")
			}
		})
		is.Equal(runs, 3)
		is.Equal(Panics(), before+2)
	})
}

func TestPanickingTaskEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	runs := 0
	Run(ctx, logr.Discard(), "test", func(context.Context) { runs++; cancel(); panic("fault") })
	is.Equal(runs, 1)
}

func TestPanicInCallEndsThatCallOnly(t *testing.T) {
	is := is.New(t)
	intercept := recoverCall(logr.Discard())
	call := func(handle grpc.UnaryHandler) (any, error) {
		return intercept(t.Context(), "request", &grpc.UnaryServerInfo{FullMethod: "Test"}, handle)
	}
	reply, err := call(func(context.Context, any) (any, error) { panic("fault") })
	is.Equal(reply, nil)
	is.Equal(status.Code(err), codes.Internal)
	reply, err = call(func(_ context.Context, request any) (any, error) { return request, nil })
	is.NoErr(err)
	is.Equal(reply, "request")
}
