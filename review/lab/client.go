package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Conn is a connection of a client to a node.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
}

// Dial opens a connection to a node.
func Dial(n *Node) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", n.Front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(conn, 4096)}, nil
}

// Send writes a request. path begins with the prefix of a route.
func (c *Conn) Send(method, path, id string, deadline time.Duration, body string) error {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFireflychute-Request-Id: %s\r\nFireflychute-Deadline-Ms: %d\r\n", method, path, Host, id, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c.Conn, text+"\r\n"+body)
	return err
}

// Answer is what a client has got.
type Answer struct {
	Status int
	ID     string
	Seal   string
	Body   []byte
	Close  bool
	// Err is set if the answer did not come to its end.
	Err error
}

// Receive reads an answer, at most bytesPerSecond of its body in a second, 0 for as fast as it comes.
func (c *Conn) Receive(bytesPerSecond int) Answer {
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	a := Answer{Status: response.StatusCode, ID: response.Header.Get("Fireflychute-Request-Id"), Seal: response.Header.Get("Fireflychute-Response-Seal"), Close: response.Close}
	if bytesPerSecond == 0 {
		a.Body, a.Err = io.ReadAll(response.Body)
		return a
	}
	const piece = 4096
	buffer := make([]byte, piece)
	for {
		n, err := response.Body.Read(buffer)
		a.Body = append(a.Body, buffer[:n]...)
		if err == io.EOF {
			return a
		}
		if err != nil {
			a.Err = err
			return a
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
	}
}

// IsWhole reports whether an answer is the success of the request, with its whole body.
func (a *Answer) IsWhole(id string, size int) bool {
	body := Body(id, size)
	return a.Err == nil && a.Status == http.StatusOK && a.ID == id && a.Seal == Seal(id, body) && string(a.Body) == string(body)
}
