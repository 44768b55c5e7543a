package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// loopback is the address of this case. Cases that run at the same time have different ones.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// serve starts an HTTP server on a free loopback port and returns its address and connections.
func serve(h http.Handler) (string, *channels) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		giveUp("listen: %v", err)
	}
	c := newChannels(l)
	go func() { _ = http.Serve(c, h) }()
	return l.Addr().String(), c
}

// reserve returns a free loopback address and what keeps others from taking it.
func reserve() (string, net.Listener) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		giveUp("listen: %v", err)
	}
	return l.Addr().String(), l
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// hang leaves a request without an answer until its caller has gone.
func hang(_ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(30 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

// discardWriter drops a response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header {
	if d.header == nil {
		d.header = http.Header{}
	}
	return d.header
}
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
