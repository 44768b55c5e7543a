package stand

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
)

// loopback is the address of this process and its nodes. Each process draws one of its own, so
// that two cases beside each other do not take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// listenAndServe serves h on a free loopback port and returns the address and a function that
// closes the port and all connections.
func listenAndServe(h http.Handler) (addr string, stop func(), err error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), func() { _ = s.Close() }, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
