package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// clientConn is a kept connection of a client to an entry.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   int // requests that were answered on it
}

// dialEntry opens a connection; clients allow one second for it.
func dialEntry(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

var attemptIDs atomic.Uint64

// newAttemptID returns an id that no other attempt has.
func newAttemptID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+attemptIDs.Add(1)) }

// request is a request of a client.
type request struct {
	method, path, key, tokens, prefix string
	body                              []byte
	deadline                          time.Duration
}

// result is what the client saw.
type result struct {
	id       string
	status   int // 0 without a final answer
	sealed   bool
	retry    time.Duration // Retry-After of the answer
	body     []byte
	err      error // the connection ended or the deadline passed
	sent     time.Time
	duration time.Duration
	kept     bool // the connection had carried an earlier request
}

// do sends a request and reads its answer.
func (c *clientConn) do(q request) result {
	res := result{id: newAttemptID(), sent: time.Now(), kept: c.used > 0}
	defer func() { res.duration = time.Since(res.sent) }()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nAuthorization: Token %s\r\n", q.method, q.path, host, res.id, q.deadline.Milliseconds(), q.key)
	if q.tokens != "" {
		fmt.Fprintf(&b, "X-Model-Name: m\r\nX-Token-Counts: %s\r\nX-Prompt-Prefix: %s\r\n", q.tokens, q.prefix)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	_ = c.SetDeadline(res.sent.Add(q.deadline)) // fails only on a closed connection
	if _, res.err = c.Write(b.Bytes()); res.err != nil {
		return res
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.sealed = resp.StatusCode, resp.Header.Get("X-Response-Seal") != ""
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.retry = time.Duration(after * float64(time.Second))
	}
	res.body, res.err = io.ReadAll(resp.Body)
	if res.err == nil {
		c.used++
	}
	return res
}

// doOnce sends a request on a new connection.
func doOnce(address string, q request) result {
	c, err := dialEntry(address)
	if err != nil {
		return result{err: err, sent: time.Now()}
	}
	defer func() { _ = c.Close() }()
	return c.do(q)
}
