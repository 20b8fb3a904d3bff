// Package object speaks to the platform's object API: versioned objects,
// conditional updates and watches over HTTP. It retries nothing; whether a
// write whose answer was lost took effect is for its callers to read back.
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
	"github.com/samber/oops"
)

// Message is an object on the wire.
type Message struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// ListMessage is the answer to a list or a watch.
type ListMessage struct {
	Revision uint64    `json:"revision"`
	From     uint64    `json:"from"`
	Objects  []Message `json:"objects"`
}

// maxAnswer bounds an answer of the platform in bytes.
const maxAnswer = 64 << 20

// Client calls the object API at one address.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{base: "http://" + address.String(), http: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 16, ResponseHeaderTimeout: time.Minute},
	}}
}

// Get returns the object of that name.
func (c *Client) Get(ctx context.Context, name string) (store.Object, error) {
	return c.call(ctx, http.MethodGet, name, nil, "")
}

// Put writes an object whose version must be ifVersion, 0 to create it. On
// store.ErrConflict the returned object is the one that stands.
func (c *Client) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (store.Object, error) {
	return c.call(ctx, http.MethodPut, name, value, strconv.FormatUint(ifVersion, 10))
}

// Delete removes an object whose version must be ifVersion.
func (c *Client) Delete(ctx context.Context, name string, ifVersion uint64) error {
	_, err := c.call(ctx, http.MethodDelete, name, nil, strconv.FormatUint(ifVersion, 10))
	return err
}

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

// List returns all objects whose names begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) (store.Update, error) {
	return c.list(ctx, url.Values{"prefix": {prefix}})
}

// Watch waits up to wait for a change after a revision and returns the
// changes. The update's Revision is that of its last change, and after itself
// without one: writes outside the prefix do not move it.
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

func (c *Client) do(request *http.Request, into any) (int, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return 0, oops.Code("platform-unreachable").Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return 0, oops.Code("platform-unreachable").Wrap(err)
	}
	if len(body) > 0 && (response.StatusCode == http.StatusOK || response.StatusCode == http.StatusConflict) {
		if err := json.Unmarshal(body, into); err != nil {
			return 0, oops.Code("platform-call").Wrapf(err, "read the platform's answer")
		}
	}
	return response.StatusCode, nil
}

// Object returns the message as the object that the replica keeps.
func (m Message) Object() store.Object {
	return store.Object{Name: m.Name, Version: m.Version, Value: m.Value, Deleted: m.Deleted}
}

// String describes the message for logs.
func (m Message) String() string { return fmt.Sprintf("%s at version %d", m.Name, m.Version) }
