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

// hello is the first message of each side.
type hello struct {
	Version  int      `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
	Nonce    []byte   `cbor:"3,keyasint"`
	// Refusal is set by a server that refuses the connection.
	Refusal *failure.Error `cbor:"4,keyasint,omitempty"`
}

// proof shows that its sender knows the credential.
type proof struct {
	MAC     []byte         `cbor:"1,keyasint"`
	Refusal *failure.Error `cbor:"2,keyasint,omitempty"`
}

// transcript is the input of both MACs. The role prevents a reflection attack,
// in which a proof is returned to its sender.
type transcript struct {
	Role   string `cbor:"1,keyasint"`
	Client hello  `cbor:"2,keyasint"`
	Server hello  `cbor:"3,keyasint"`
}

const (
	roleClient = "client"
	roleServer = "server"
)

// clientHandshake runs the client's side: the client's hello, the server's
// hello, the client's proof, the server's proof. The client proves first, so
// that a server proves nothing to an unauthenticated client.
func (t *Transport) clientHandshake(ctx context.Context, ws *websocket.Conn) (Identity, error) {
	ws.SetReadLimit(maxHandshakeBytes)
	if len(t.opts.Credential) == 0 {
		return Identity{}, missingCredentialError()
	}
	client := t.newHello()
	if err := writeValue(ctx, ws, client); err != nil {
		return Identity{}, err
	}
	var server hello
	if err := readValue(ctx, ws, &server); err != nil {
		return Identity{}, err
	}
	if err := validateHello(server); err != nil {
		return Identity{}, err
	}
	if err := writeValue(ctx, ws, proof{MAC: t.computeMAC(roleClient, client, server)}); err != nil {
		return Identity{}, err
	}
	var answer proof
	if err := readValue(ctx, ws, &answer); err != nil {
		return Identity{}, err
	}
	if answer.Refusal != nil {
		return Identity{}, answer.Refusal
	}
	return server.Identity, t.verifyProof(answer, roleServer, client, server)
}

// serverHandshake runs the server's side of clientHandshake.
func (t *Transport) serverHandshake(ctx context.Context, ws *websocket.Conn) (Identity, error) {
	ws.SetReadLimit(maxHandshakeBytes)
	var client hello
	if err := readValue(ctx, ws, &client); err != nil {
		return Identity{}, err
	}
	server := t.newHello()
	err := validateHello(client)
	if len(t.opts.Credential) == 0 {
		err = missingCredentialError()
	}
	if err != nil {
		server.Refusal = failure.From(err)
		_ = writeValue(ctx, ws, server) // the connection ends even if the refusal cannot be sent
		return Identity{}, err
	}
	if err := writeValue(ctx, ws, server); err != nil {
		return Identity{}, err
	}
	var p proof
	if err := readValue(ctx, ws, &p); err != nil {
		return Identity{}, err
	}
	if err := t.verifyProof(p, roleClient, client, server); err != nil {
		_ = writeValue(ctx, ws, proof{Refusal: failure.From(err)})
		return Identity{}, err
	}
	return client.Identity, writeValue(ctx, ws, proof{MAC: t.computeMAC(roleServer, client, server)})
}

func (t *Transport) newHello() hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	return hello{Version: ProtocolVersion, Identity: t.self, Nonce: nonce}
}

func validateHello(h hello) error {
	switch {
	case h.Refusal != nil:
		return h.Refusal
	case h.Version != ProtocolVersion:
		return failure.New(failure.Format, "run compatible versions on all instances",
			"peer speaks protocol version %d, this instance %d", h.Version, ProtocolVersion)
	case len(h.Nonce) != nonceBytes:
		return failure.New(failure.Format, "run compatible versions on all instances",
			"nonce of the peer has %d bytes, not %d", len(h.Nonce), nonceBytes)
	}
	return nil
}

func (t *Transport) verifyProof(p proof, role string, client, server hello) error {
	if hmac.Equal(p.MAC, t.computeMAC(role, client, server)) {
		return nil
	}
	return failure.New(failure.Unauthorized, "give all instances the same peer credential",
		"the %s of the peer connection has a different credential", role)
}

func (t *Transport) computeMAC(role string, client, server hello) []byte {
	b, err := Marshal(transcript{Role: role, Client: client, Server: server})
	if err != nil {
		panic(err) // a transcript can always be encoded
	}
	h := hmac.New(sha256.New, t.opts.Credential)
	h.Write(b)
	return h.Sum(nil)
}

func missingCredentialError() error {
	return failure.New(failure.Unauthorized, "set the peer credential", "this instance has no peer credential")
}

func writeValue(ctx context.Context, ws *websocket.Conn, v any) error {
	b, err := Marshal(v)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, b)
}

func readValue(ctx context.Context, ws *websocket.Conn, v any) error {
	_, b, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	return Unmarshal(b, v)
}
