package proxy

import (
	"io"
	"net/http"
	"sync"
)

const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// stream copies an answer's body and trailers. Answers of unknown length are
// flushed with each part, as they may be fed slowly.
func stream(w http.ResponseWriter, answer *http.Response) error {
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := answer.Body.Read(buffer[:])
		if n > 0 {
			_, failure := w.Write(buffer[:n])
			if failure != nil {
				return failure
			}
			if answer.ContentLength < 0 {
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
	for name, values := range answer.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}
