// Package engine is the stand-in for a model engine in tests: continuous
// batching in steps, a prefix cache, resumable streams, and text that follows
// from the prompt alone, so that every answer can be checked.
package engine

import (
	"hash/fnv"
	"strings"
)

var words = []string{
	"tent", "lawn", "floor", "pole", "rope", "crew", "yard", "gate", "quote", "slot",
	"letter", "notice", "term", "office", "debt", "offer", "reply", "stage", "date", "file",
}

// Token returns the nth token of the answer to a prompt.
func Token(prompt string, n int) string {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(prompt))
	sum := h.Sum64() + uint64(n)*0x9e3779b97f4a7c15
	sum ^= sum >> 29
	sum *= 0xbf58476d1ce4e5b9
	sum ^= sum >> 32
	return words[sum%uint64(len(words))] + " "
}

// Text returns the first n tokens of the answer to a prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
