package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// Message is what nodes exchange.
type Message = message.Message

// MaxFrameBytes is the largest message, without its length.
const MaxFrameBytes = 4 << 20

const headerBytes = 4

// encodeFrame returns the frame of a message.
func encodeFrame(body *Message) ([]byte, error) {
	frame, err := body.MarshalMsg(make([]byte, headerBytes, headerBytes+body.Msgsize()))
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	size := len(frame) - headerBytes
	if size > MaxFrameBytes {
		return nil, ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// readFrame reads one message. The buffer grows with the bytes that arrive, not
// with the announced length.
func readFrame(reader *bufio.Reader) (Message, error) {
	received := Message{}
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return received, err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > MaxFrameBytes {
		return received, ErrFrameTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(reader, size))
	if err != nil {
		return received, err
	}
	if int64(len(body)) < size {
		return received, io.ErrUnexpectedEOF
	}
	_, err = received.UnmarshalMsg(body)
	return received, errors.Wrap(err, "decode message")
}
