// Package engine implements the stand-in for a model engine in tests. It has
// continuous batching in steps, a prefix cache and resumable streams. The
// generated text is a function of the prompt alone, so that tests can check every
// response.
package engine

import (
	"hash/fnv"
	"strings"
)

var vocabulary = []string{
	"tent", "lawn", "floor", "pole", "rope", "crew", "yard", "gate", "quote", "slot",
	"letter", "notice", "term", "office", "debt", "offer", "reply", "stage", "date", "file",
}

// Token returns token n, counted from 0, of the completion of a prompt.
func Token(prompt string, n int) string {
	h := fnv.New64a()
	// Writing to a hash never returns an error.
	_, _ = h.Write([]byte(prompt))
	sum := h.Sum64() + uint64(n)*0x9e3779b97f4a7c15
	sum ^= sum >> 29
	sum *= 0xbf58476d1ce4e5b9
	sum ^= sum >> 32
	return vocabulary[sum%uint64(len(vocabulary))] + " "
}

// Text returns the first n tokens of the completion of a prompt.
func Text(prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
