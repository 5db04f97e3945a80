package proxy

import (
	"io"
	"net/http"
	"sync"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// copyResponseBody copies an answer's body and trailers. Answers of unknown length are
// flushed with each part, as they may be fed slowly.
func copyResponseBody(w http.ResponseWriter, response *http.Response) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			_, writeErr := w.Write(buffer[:n])
			if writeErr != nil {
				return writeErr
			}
			if response.ContentLength < 0 {
				_ = http.NewResponseController(w).Flush()
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
	}
	for name, values := range response.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}
