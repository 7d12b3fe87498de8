package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/coder/websocket"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

const (
	nonceBytes        = 32
	maxHandshakeBytes = 4096
)

// hello opens a connection in both directions.
type hello struct {
	Version  int      `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
	Nonce    []byte   `cbor:"3,keyasint"`
	// Refused ends the handshake.
	Refused *failure.Error `cbor:"4,keyasint,omitempty"`
}

// proof shows that its sender knows the credential.
type proof struct {
	MAC     []byte         `cbor:"1,keyasint"`
	Refused *failure.Error `cbor:"2,keyasint,omitempty"`
}

// transcript is what both proofs cover. The role keeps a proof from being sent
// back to its own maker.
type transcript struct {
	Role   string `cbor:"1,keyasint"`
	Client hello  `cbor:"2,keyasint"`
	Server hello  `cbor:"3,keyasint"`
}

const (
	roleClient = "client"
	roleServer = "server"
)

// greet runs the client's side: hello, hello, client's proof, server's proof.
// The client proves first, so a server shows nothing to strangers.
func (t *Transport) greet(ctx context.Context, ws *websocket.Conn) (Identity, error) {
	ws.SetReadLimit(maxHandshakeBytes)
	if len(t.opts.Credential) == 0 {
		return Identity{}, noCredential()
	}
	client := t.hello()
	if err := writeOne(ctx, ws, client); err != nil {
		return Identity{}, err
	}
	var server hello
	if err := readOne(ctx, ws, &server); err != nil {
		return Identity{}, err
	}
	if err := checkHello(server); err != nil {
		return Identity{}, err
	}
	if err := writeOne(ctx, ws, proof{MAC: t.mac(roleClient, client, server)}); err != nil {
		return Identity{}, err
	}
	var answer proof
	if err := readOne(ctx, ws, &answer); err != nil {
		return Identity{}, err
	}
	if answer.Refused != nil {
		return Identity{}, answer.Refused
	}
	return server.Identity, t.checkProof(answer, roleServer, client, server)
}

// admit runs the server's side of greet.
func (t *Transport) admit(ctx context.Context, ws *websocket.Conn) (Identity, error) {
	ws.SetReadLimit(maxHandshakeBytes)
	var client hello
	if err := readOne(ctx, ws, &client); err != nil {
		return Identity{}, err
	}
	server := t.hello()
	err := checkHello(client)
	if len(t.opts.Credential) == 0 {
		err = noCredential()
	}
	if err != nil {
		server.Refused = failure.From(err)
		_ = writeOne(ctx, ws, server) // the refusal is reported either way
		return Identity{}, err
	}
	if err := writeOne(ctx, ws, server); err != nil {
		return Identity{}, err
	}
	var p proof
	if err := readOne(ctx, ws, &p); err != nil {
		return Identity{}, err
	}
	if err := t.checkProof(p, roleClient, client, server); err != nil {
		_ = writeOne(ctx, ws, proof{Refused: failure.From(err)})
		return Identity{}, err
	}
	return client.Identity, writeOne(ctx, ws, proof{MAC: t.mac(roleServer, client, server)})
}

func (t *Transport) hello() hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	return hello{Version: ProtocolVersion, Identity: t.self, Nonce: nonce}
}

func checkHello(h hello) error {
	switch {
	case h.Refused != nil:
		return h.Refused
	case h.Version != ProtocolVersion:
		return failure.New(failure.Format, "run compatible versions on all instances",
			"peer speaks protocol version %d, this instance %d", h.Version, ProtocolVersion)
	case len(h.Nonce) != nonceBytes:
		return failure.New(failure.Format, "run compatible versions on all instances",
			"nonce of the peer has %d bytes, not %d", len(h.Nonce), nonceBytes)
	}
	return nil
}

func (t *Transport) checkProof(p proof, role string, client, server hello) error {
	if hmac.Equal(p.MAC, t.mac(role, client, server)) {
		return nil
	}
	return failure.New(failure.Unauthorized, "give all instances the same peer credential",
		"the %s of the peer connection has another credential", role)
}

func (t *Transport) mac(role string, client, server hello) []byte {
	b, err := Marshal(transcript{Role: role, Client: client, Server: server})
	if err != nil {
		panic(err) // the type always encodes
	}
	h := hmac.New(sha256.New, t.opts.Credential)
	h.Write(b)
	return h.Sum(nil)
}

func noCredential() error {
	return failure.New(failure.Unauthorized, "set the peer credential", "this instance has no peer credential")
}

func writeOne(ctx context.Context, ws *websocket.Conn, v any) error {
	b, err := Marshal(v)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, b)
}

func readOne(ctx context.Context, ws *websocket.Conn, v any) error {
	_, b, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	return Unmarshal(b, v)
}
