package client

import (
	"testing"

	"github.com/matryer/is"
)

// TestIdentityDistinguishesContents guards against taking one request for another: each field
// counts, and no two of them run together.
func TestIdentityDistinguishesContents(t *testing.T) {
	is := is.New(t)
	k := NewIdentityKey()
	c := Content{Method: "POST", Host: "books.example", Target: "/check/1?page=2", Account: "planner", Prompt: "m", Body: [][]byte{[]byte("a")}}
	equal := c
	equal.Body = [][]byte{[]byte("a")}
	is.Equal(k.Identify(c), k.Identify(equal))
	seen := map[string]bool{k.Identify(c): true}
	for _, change := range []func(*Content){
		func(c *Content) { c.Method = "GET" },
		func(c *Content) { c.Host = "other.example" },
		func(c *Content) { c.Target = "/check/1?page=3" },
		func(c *Content) { c.Account = "clerk" },
		func(c *Content) { c.Prompt = "n" },
		func(c *Content) { c.Body = [][]byte{[]byte("b")} },
		func(c *Content) { c.Body = nil },
		func(c *Content) { c.Prompt, c.Body = "ma", nil },
		func(c *Content) { c.Account, c.Prompt = "plannerm", "" },
	} {
		other := c
		change(&other)
		seen[k.Identify(other)] = true
	}
	is.Equal(len(seen), 10)
	is.True(NewIdentityKey().Identify(c) != k.Identify(c)) // says nothing without the key
}
