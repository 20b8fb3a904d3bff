package directory

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bramleydeal/internal/core/instance"
	"bramleydeal/internal/core/store"
	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// TestNewEraIsNotListedByAllAtOnce guards against all instances listing the store at the
// moment at which it comes back from an older copy: those that watch its cache wait, each
// for another time, and do not list what a peer has brought meanwhile.
func TestNewEraIsNotListedByAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const count = 150
		all := map[string]fleet.Instance{}
		var listed []fleet.Instance
		for i := range count {
			n := fleet.Instance{Name: fmt.Sprint("e", i), Role: fleet.EntryRole, FailureDomain: "z1"}
			all[n.Name], listed = n, append(listed, n)
		}
		atOnce, brought := 0, 0
		for name := range all {
			d, _ := newDirectory(name)
			d.instances, d.lastPeerReply = all, time.Now()
			d.apply(Upstreams, store.Update{Revision: store.VersionOf(1, 9)}, "store")
			began := time.Now()
			if !instance.IsWatcher(listed, name, "z1", directWatchers) {
				go func() {
					time.Sleep(time.Millisecond)
					d.apply(Upstreams, store.Update{Revision: store.VersionOf(2, 4)}, "peer")
				}()
			}
			if d.updatedByPeer(t.Context(), Upstreams) {
				brought++
			} else if time.Since(began) == 0 {
				atOnce++
			}
			synctest.Wait()
			time.Sleep(time.Second)
		}
		is.Equal(atOnce, directWatchers)
		is.True(brought > count*9/10)
	})
}
