package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
)

// MaxMessageBytes bounds one message.
const MaxMessageBytes = 16 << 20

// ErrTooLarge reports a message above MaxMessageBytes. The connection is closed.
var ErrTooLarge = errors.New("peer message is too large")

// meteredReader fails once a message has used up its bound.
type meteredReader struct {
	r    io.Reader
	left int
}

func (m *meteredReader) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, ErrTooLarge
	}
	if len(p) > m.left {
		p = p[:m.left]
	}
	n, err := m.r.Read(p)
	m.left -= n
	return n, err
}

// codec is gob with a bound on each message. It serves both ends.
type codec struct {
	conn  io.ReadWriteCloser
	meter *meteredReader
	dec   *gob.Decoder
	enc   *gob.Encoder
	out   *bufio.Writer
}

func newCodec(conn io.ReadWriteCloser) *codec {
	meter := &meteredReader{r: conn}
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, meter: meter, dec: gob.NewDecoder(bufio.NewReader(meter)), enc: gob.NewEncoder(out), out: out}
}

// readHeader renews the bound for the next message.
func (c *codec) readHeader(header any) error {
	c.meter.left = MaxMessageBytes
	return c.dec.Decode(header)
}

// readBody closes the connection where the message is too large, since the rest
// of it would be taken for the next one.
func (c *codec) readBody(body any) error {
	err := c.dec.Decode(body)
	if errors.Is(err, ErrTooLarge) {
		_ = c.conn.Close()
	}
	return err
}

func (c *codec) write(header, body any) error {
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.out.Flush()
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error    { return c.readHeader(r) }
func (c clientCodec) ReadResponseBody(body any) error             { return c.readBody(body) }

type serverCodec struct{ *codec }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }
func (c serverCodec) ReadRequestBody(body any) error         { return c.readBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}
