package group

// Versions of maps. The higher bits are the term of the lease under which a map was planned, the lower
// ones count the maps of that term. The lowest bit is 0 for a map that may come into use. The version
// with that bit set after it stands for no map: staging it retires the map before it.
const (
	counterBits = 20
	// noneStaged is the version that a rank reports which has staged no map. It is a retired one.
	noneStaged = 1
)

// MapVersion returns the version of the map that is planned as number counter, from 1 on, in a term.
func MapVersion(term, counter uint64) uint64 { return term<<counterBits | counter<<1 }

// RetiringVersion returns the version that retires the map of a version, and all earlier ones, at a rank
// that has staged it: an engine stages no version again that is not higher than all that it had.
func RetiringVersion(version uint64) uint64 { return version | 1 }

// isRetired reports whether a version stands for no map that may come into use.
func isRetired(version uint64) bool { return version&1 == 1 }

// StagedVersion returns what a rank reports as [Reply.Staged] if its engine may carry out an order to
// switch that is not under the ballot that the rank has promised. prepared is the version that the
// engine has staged, 0 for none.
func StagedVersion(prepared uint64) uint64 { return max(prepared, noneStaged) }
