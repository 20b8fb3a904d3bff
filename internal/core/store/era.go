package store

// A store may come back from an older copy: its revisions go back and are given out again.
// It counts how often that happened, which is its era. A version therefore consists of the
// era and the revision. In this package and in all messages it is one number that orders
// versions by era first, so that a version of an earlier era is always lower.

// revisionBits is the number of bits of a version that hold the revision.
const revisionBits = 40

// MaxRevision is the highest revision that a version can hold.
const MaxRevision = 1<<revisionBits - 1

// VersionOf returns the version of a revision in an era. It is 0, which stands for no
// version, for revision 0.
func VersionOf(era, revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | revision
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version.
func RevisionOf(version uint64) uint64 { return version & MaxRevision }
