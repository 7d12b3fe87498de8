package relay

import (
	"errors"
	"hash/maphash"
	"net/http"

	"github.com/clementinerack/clementinerack/pkg/membudget"
	"github.com/clementinerack/clementinerack/pkg/splice"
)

// errForeignAnswer means that an answer belongs to another request, or may do so.
var errForeignAnswer = errors.New("the answer does not name the request")

// roundTrip sends a request to an endpoint and returns the answer to it. It uses a kept
// connection only if newConn is false and the endpoint repeats request IDs in its answers:
// otherwise the late copy of an earlier answer could not be told from the one to this request.
// The head of the answer takes its memory from the account.
func (c *Client) roundTrip(endpointID string, req *http.Request, newConn bool, memory *membudget.Account) (*http.Response, error) {
	transport := c.unpooled
	if !newConn && c.namesRequests(endpointID) {
		transport = c.pooled
	}
	requestID := req.Header.Get(requestIDHeader)
	hash := maphash.String(c.seed, requestID)
	ctx, usedRecorder := withRecorder(req.Context(), hash, memory)
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	r := usedRecorder()
	if r != nil {
		defer r.release()
	}
	if err != nil {
		return nil, err
	}
	c.reportDraining(endpointID, resp.Header) // whatever request the answer belongs to
	names, foreign := identify(resp.Header, requestID)
	c.recordNamesRequests(endpointID, names)
	switch {
	case foreign || transport == c.pooled && !names || r != nil && r.declined:
		err = errForeignAnswer
	case r != nil:
		err = r.checkHead()
	}
	if err != nil {
		_ = resp.Body.Close()
		if r != nil {
			_ = r.Close() // net/http keeps the connection if the body is empty
		}
		return nil, err
	}
	if r != nil && resp.StatusCode != http.StatusOK { // engines accept a request with 200 only
		r.recordRefusal(hash)
	}
	if r != nil && resp.ContentLength > 0 {
		resp.Body = splice.NewBody(resp.Body, func() []byte { return r.after(resp.ContentLength) })
	}
	return resp, nil
}

// identify reports whether the header of an answer names the request with the given ID,
// and whether it names another one.
func identify(header http.Header, requestID string) (names, foreign bool) {
	ids := header.Values(requestIDHeader)
	names = len(ids) == 1 && ids[0] == requestID
	return names, len(ids) > 0 && !names
}

// namesRequests reports whether the latest answer of an endpoint repeated the request ID.
func (c *Client) namesRequests(endpointID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.naming[endpointID]
}

func (c *Client) recordNamesRequests(endpointID string, names bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if names {
		c.naming[endpointID] = true
	} else {
		delete(c.naming, endpointID)
	}
}
