// Package task runs the background tasks of a process. A panic in a task is logged and
// counted, and ends that task or call only: a process that serves streams goes on.
//
// Tasks that own the state behind a promise to callers, such as the ledger of an agent,
// must not run under this package. After a panic their state may be inconsistent, and the
// process has to end.
package task

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"bramleydeal/internal/process/clock"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// restartDelay is the time after a panic until a task is started again.
const restartDelay = time.Second

// panics is the number of recovered panics of the process.
var panics atomic.Uint64

// Panics returns the number of panics that were recovered since the start of the process.
func Panics() uint64 { return panics.Load() }

// Run runs f until it returns or ctx ends. After a panic it starts f again.
func Run(ctx context.Context, log logr.Logger, name string, f func(context.Context)) {
	for !Once(log, name, func() { f(ctx) }) && ctx.Err() == nil {
		clock.Sleep(ctx, restartDelay)
	}
}

// Once runs f and reports whether it returned without a panic.
func Once(log logr.Logger, name string, f func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			record(log, name, cause)
		}
	}()
	f()
	return true
}

// record logs and counts a recovered panic.
func record(log logr.Logger, name string, cause any) {
	panics.Add(1)
	log.Error(oops.Code("panic").Errorf("%v", cause), "recovered from a panic; please report it", "task", name, "stack", string(debug.Stack()))
}

// RecoverCalls returns the option of a gRPC server with which a panic in the handler of
// a unary call ends that call only, with the status Internal.
func RecoverCalls(log logr.Logger) grpc.ServerOption {
	return grpc.ChainUnaryInterceptor(recoverCall(log))
}

func recoverCall(log logr.Logger) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
		if !Once(log, info.FullMethod, func() { reply, err = handle(ctx, request) }) {
			return nil, status.Error(codes.Internal, "the handler failed")
		}
		return reply, err
	}
}
