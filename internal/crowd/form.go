package crowd

import (
	"bytes"
	"fmt"
	"strings"
)

// Target is the request that the forms of a crowd are made of.
type Target struct {
	Method string
	Host   string
	Path   func(client int) string
	Header string // further header lines, each with its end
}

// start returns a request line and the usual header lines, without the end of the header.
func (t *Target) start() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", t.Method, t.Path(0), t.Host, t.Header)
}

// ShortHeaders sends headerBytes of header lines of five or six bytes, each with a name of its own, and a body
// that never ends.
func (t *Target) ShortHeaders(headerBytes int) Form {
	var b bytes.Buffer
	b.WriteString(t.start())
	b.WriteString("Content-Length: 1000\r\n")
	for i := 0; b.Len() < headerBytes-10; i++ {
		fmt.Fprintf(&b, "%s:\r\n", headerName(i))
	}
	b.WriteString("\r\n")
	return Form{Name: "short header lines", Bytes: b.Bytes()}
}

// headerName returns a name of two or three letters for each i.
func headerName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	n := len(letters)
	name := string(letters[i%n]) + string(letters[i/n%n])
	if i >= n*n {
		name += string(letters[i/n/n%n])
	}
	return name
}

// RepeatedHeaders sends headerBytes of header lines with five names again and again, and never ends the header.
func (t *Target) RepeatedHeaders(headerBytes int) Form {
	lines := "A:\r\nB: \r\nC:x\r\nD:;\r\nE:,\r\n"
	head := t.start()
	body := strings.Repeat(lines, max(0, headerBytes-len(head)-len(lines))/len(lines))
	return Form{Name: "repeated header lines", Bytes: []byte(head + body)}
}

// Body sends all but the last byte of body, with its length.
func (t *Target) Body(body []byte, pieces bool) Form {
	head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.start(), len(body))
	return Form{Name: pieceName("body", pieces), Bytes: append([]byte(head), body[:len(body)-1]...), Pieces: pieces}
}

// LargeChunk sends all but the last byte of body as one chunk, which does not end.
func (t *Target) LargeChunk(body []byte, pieces bool) Form {
	head := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", t.start(), len(body))
	return Form{Name: pieceName("large chunk", pieces), Bytes: append([]byte(head), body[:len(body)-1]...), Pieces: pieces}
}

// SmallChunks sends all but the last byte of body in chunks of one byte.
func (t *Target) SmallChunks(body []byte, pieces bool) Form {
	var b bytes.Buffer
	b.WriteString(t.start())
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for _, c := range body[:len(body)-1] {
		b.WriteString("1\r\n")
		b.WriteByte(c)
		b.WriteString("\r\n")
	}
	return Form{Name: pieceName("small chunks", pieces), Bytes: b.Bytes(), Pieces: pieces}
}

// pieceName returns the name of a form that is sent whole or in pieces.
func pieceName(name string, pieces bool) string {
	if pieces {
		return name + " in pieces"
	}
	return name + " whole"
}

// Whole sends a complete request with the body again and again.
func (t *Target) Whole(name string, body []byte) Form {
	head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", t.start(), len(body))
	return Form{Name: name, Bytes: append([]byte(head), body...), Complete: true}
}

// Each sends a complete request with the body, each time with the path of another client.
func (t *Target) Each(name string, body []byte) Form {
	return Form{Name: name, Complete: true, Next: func(n int64) []byte {
		own := *t
		own.Path = func(int) string { return t.Path(int(n)) }
		return own.Whole(name, body).Bytes
	}}
}

// Mixed sends what one of the forms sends, a different one on each connection in turn.
func Mixed(forms ...Form) Form {
	return Form{Name: "mixed", Next: func(n int64) []byte {
		f := forms[n%int64(len(forms))]
		if f.Next != nil {
			return f.Next(n)
		}
		return f.Bytes
	}}
}

// Unread sends count requests without a body and reads none of the responses.
func (t *Target) Unread(count int) Form {
	return Form{Name: "unread responses", Bytes: []byte(strings.Repeat(t.start()+"\r\n", count)), Unread: true}
}

// Idle opens connections and sends nothing.
func Idle() Form { return Form{Name: "idle connections"} }

// StatedLength sends a header that states a body of length bytes, and none of the body.
func (t *Target) StatedLength(length int64) Form {
	return Form{Name: "stated length", Bytes: fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.start(), length)}
}
