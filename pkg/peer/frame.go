package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"github.com/fireflychute/fireflychute/pkg/message"
)

// Message is the message exchanged between nodes.
type Message = message.Message

// MaxFrameBytes is the maximum size of an encoded message, without the length header.
const MaxFrameBytes = 4 << 20

const headerBytes = 4

// encodeFrame encodes a message with its length header.
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

// readFrame reads and decodes one message. The buffer grows with the bytes that arrive, so that a
// peer cannot cause a large allocation by announcing a large length.
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
