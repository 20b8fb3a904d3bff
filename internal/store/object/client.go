// Package object is a client of the platform's object API: versioned objects,
// conditional updates and watches over HTTP. It does not retry. When the response
// to a write is lost, the caller must read the object to learn whether the write
// took effect.
package object

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/http11"
	"github.com/samber/oops"
)

// Message is the JSON form of an object in requests and responses.
type Message struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// ListMessage is the response to a list or a watch.
type ListMessage struct {
	Revision uint64    `json:"revision"`
	From     uint64    `json:"from"`
	Objects  []Message `json:"objects"`
}

// maxResponseBytes is the longest response that is read.
const maxResponseBytes = 64 << 20

// Client calls the object API at one address. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform's object API at address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{base: "http://" + address.String(), http: &http.Client{
		Transport: http11.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16, ResponseHeaderTimeout: time.Minute, MaxResponseHeaderBytes: dial.MaxResponseHead}),
	}}
}

// Get returns the object with the given name, or store.ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (store.Object, error) {
	return c.call(ctx, http.MethodGet, name, nil, "")
}

// Put writes an object if its current version is ifVersion, which is 0 for an
// object that does not exist yet. Otherwise it returns store.ErrConflict with the
// current object.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (store.Object, error) {
	return c.call(ctx, http.MethodPut, name, value, strconv.FormatUint(ifVersion, 10))
}

// Delete deletes an object if its current version is ifVersion, and otherwise
// returns store.ErrConflict.
func (c *Client) Delete(ctx context.Context, name string, ifVersion uint64) error {
	_, err := c.call(ctx, http.MethodDelete, name, nil, strconv.FormatUint(ifVersion, 10))
	return err
}

// call sends a request for one object and returns the object of the response.
// An empty ifMatch makes the request unconditional.
func (c *Client) call(ctx context.Context, method, name string, value []byte, ifMatch string) (store.Object, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+"/objects/"+name, bytes.NewReader(value))
	if err != nil {
		return store.Object{}, oops.Code("platform-call").Wrapf(err, "%s %s", method, name)
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	var m Message
	status, err := c.do(request, &m)
	if err != nil {
		return store.Object{}, err
	}
	switch status {
	case http.StatusOK:
		return m.Object(), nil
	case http.StatusNotFound:
		return store.Object{}, oops.Code("not-found").Wrapf(store.ErrNotFound, "%s %s", method, name)
	case http.StatusConflict:
		return m.Object(), oops.Code("conflict").Wrapf(store.ErrConflict, "%s %s", method, name)
	default:
		return store.Object{}, oops.Code("platform-call").Errorf("%s %s: status %d", method, name, status)
	}
}

// List returns all objects whose names start with prefix.
func (c *Client) List(ctx context.Context, prefix string) (store.Update, error) {
	return c.list(ctx, url.Values{"prefix": {prefix}})
}

// Watch waits up to wait for a change to the objects whose names start with
// prefix, and returns the changes since the revision after. The Revision of the
// update is that of its last change, or after if there is none, because writes
// outside the prefix must not advance it. A Revision below after means that the
// platform does not have the revision after, for example because it lost its state.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Update, error) {
	u, err := c.list(ctx, url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {wait.String()},
	})
	if err != nil || u.Revision < after {
		return u, err
	}
	u.Revision = after
	for _, o := range u.Objects {
		u.Revision = max(u.Revision, o.Version)
	}
	return u, nil
}

// list requests a list, or a watch if query has the parameter "after".
func (c *Client) list(ctx context.Context, query url.Values) (store.Update, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/objects?"+query.Encode(), nil)
	if err != nil {
		return store.Update{}, oops.Code("platform-call").Wrapf(err, "list")
	}
	var m ListMessage
	status, err := c.do(request, &m)
	if err != nil {
		return store.Update{}, err
	}
	if status != http.StatusOK {
		return store.Update{}, oops.Code("platform-call").Errorf("list: status %d", status)
	}
	u := store.Update{From: m.From, Revision: m.Revision, Objects: make([]store.Object, len(m.Objects))}
	for i := range m.Objects {
		u.Objects[i] = m.Objects[i].Object()
	}
	return u, nil
}

// do sends a request, decodes a response with an object or a list into the value
// that into points to, and returns the status code.
func (c *Client) do(request *http.Request, into any) (int, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, oops.Code("platform-unreachable").Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxResponseBytes))
	if err != nil {
		return 0, oops.Code("platform-unreachable").Wrap(err)
	}
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusConflict {
		// An empty body is none of these: the answer broke off after its head.
		if err := json.Unmarshal(body, into); err != nil {
			return 0, oops.Code("platform-call").Wrapf(err, "read the platform's answer")
		}
	}
	return response.StatusCode, nil
}

// Object returns the object that the message describes.
func (m Message) Object() store.Object {
	return store.Object{Name: m.Name, Version: m.Version, Value: m.Value, Deleted: m.Deleted}
}

// String returns the object's name and version for logs.
func (m Message) String() string { return fmt.Sprintf("%s at version %d", m.Name, m.Version) }
