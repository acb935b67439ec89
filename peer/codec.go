package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
)

// MaxMessageBytes is the size limit of one message, header and body together.
const MaxMessageBytes = 16 << 20

// ErrTooLarge is returned for a message above MaxMessageBytes. The connection is then
// closed.
var ErrTooLarge = errors.New("peer message is too large")

// limitedReader returns ErrTooLarge once the bytes remaining for a message are used up.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrTooLarge
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= n
	return n, err
}

// codec encodes and decodes messages as gob and limits the size of each message read.
// Client and server share it.
type codec struct {
	conn   io.ReadWriteCloser
	reader *limitedReader
	dec    *gob.Decoder
	enc    *gob.Encoder
	writer *bufio.Writer
}

// newCodec returns a codec for a connection.
func newCodec(conn io.ReadWriteCloser) *codec {
	reader := &limitedReader{r: conn}
	writer := bufio.NewWriter(conn)
	return &codec{conn: conn, reader: reader, dec: gob.NewDecoder(bufio.NewReader(reader)), enc: gob.NewEncoder(writer), writer: writer}
}

// readHeader resets the size limit for the next message and reads its header.
func (c *codec) readHeader(header any) error {
	c.reader.remaining = MaxMessageBytes
	return c.dec.Decode(header)
}

// readBody reads the body of a message. It closes the connection if the message is too
// large, since the rest of it would be read as the next message.
func (c *codec) readBody(body any) error {
	err := c.dec.Decode(body)
	if errors.Is(err, ErrTooLarge) {
		_ = c.conn.Close()
	}
	return err
}

// write sends the header and the body of a message.
func (c *codec) write(header, body any) error {
	if err := c.enc.Encode(header); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.writer.Flush()
}

// Close closes the connection.
func (c *codec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error    { return c.readHeader(r) }
func (c clientCodec) ReadResponseBody(body any) error             { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }
func (c serverCodec) ReadRequestBody(body any) error         { return c.readBody(body) }

// WriteResponse sends a reply. It closes the connection if that fails.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.write(r, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}
