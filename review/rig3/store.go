package rig3

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// txnTime is how long the store takes for a call.
const txnTime = 4 * time.Millisecond

// maxPageRows is the number of rows in one response.
const maxPageRows = 500

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     int64  `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// Store is a stand-in for the platform's store. It keeps its rows in memory and its whole history.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	began   time.Time

	// Slow returns how much longer than usual an answer to the named client takes. It may be nil.
	Slow func(client string) time.Duration
	// Lose tells what happens to a call of the named client that gets no answer. It may be nil.
	Lose func(client, path string) Loss
	// Refuse returns the status with which a call of the named client is rejected, or 0. It may be nil.
	Refuse func(client string) int
}

// Loss is what happens to a call that gets no answer.
type Loss struct {
	Lost bool
	Late time.Duration // it is carried out so much later, if its condition still holds then
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now()}
}

// Serve starts a listener for the named client and returns its address.
func (s *Store) Serve(client string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	handle := func(path string, f func(*http.Request) (int, any)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if s.Refuse != nil {
				if status := s.Refuse(client); status != 0 {
					w.WriteHeader(status)
					return
				}
			}
			loss := Loss{}
			if s.Lose != nil {
				loss = s.Lose(client, r.URL.Path)
			}
			if loss.Late > 0 {
				body, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				late := r.Clone(context.Background())
				late.Body = io.NopCloser(bytes.NewReader(body))
				time.AfterFunc(loss.Late, func() { f(late) })
			}
			if loss.Lost {
				if loss.Late == 0 {
					f(r)
				}
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			status, body := f(r)
			time.Sleep(txnTime)
			if s.Slow != nil {
				time.Sleep(s.Slow(client))
			}
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(body)
		})
	}
	handle("POST /rows-tx", s.transact)
	handle("GET /rows-get", s.get)
	handle("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

type rowsBody struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"HasMore"`
	Ver     int64 `json:"Ver"`
	NowMs   int64 `json:"NowMs"`
}

func (s *Store) bodyLocked(rows []row) rowsBody {
	if rows == nil {
		rows = []row{}
	}
	return rowsBody{Rows: rows, Ver: s.version, NowMs: time.Since(s.began).Milliseconds() + 50_000}
}

func (s *Store) transact(r *http.Request) (int, any) {
	var tx struct {
		Precondition, Writes, Deletes []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		return http.StatusBadRequest, rowsBody{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for _, p := range tx.Precondition {
		now, ok := s.rows[p.key()]
		if ok {
			current = append(current, now)
		}
		holds = holds && now.Ver == p.Ver
	}
	if !holds {
		return http.StatusPreconditionFailed, s.bodyLocked(current)
	}
	for _, w := range append(tx.Writes, tx.Deletes...) {
		if w.Table == "op" || w.Table == "servers" {
			return http.StatusForbidden, rowsBody{}
		}
	}
	s.applyLocked(tx.Writes, tx.Deletes)
	return http.StatusOK, s.bodyLocked(nil)
}

func (s *Store) applyLocked(writes, deletes []row) {
	s.version++
	for _, w := range writes {
		w.Ver, w.Deleted = s.version, false
		s.rows[w.key()] = w
		s.history = append(s.history, w)
	}
	for _, d := range deletes {
		if _, ok := s.rows[d.key()]; !ok {
			continue
		}
		delete(s.rows, d.key())
		s.history = append(s.history, row{Table: d.Table, Part: d.Part, Key: d.Key, Ver: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as the operator or a worker.
func (s *Store) Put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values of this package always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked([]row{{Table: table, Key: key, Value: b}}, nil)
}

// Drop deletes a row as the platform.
func (s *Store) Drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{table, "", key}]; ok {
		s.applyLocked(nil, []row{{Table: table, Key: key}})
	}
}

// Value returns the value of a row of any part, or nil.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.rows {
		if k.table == table && k.key == key {
			return r.Value
		}
	}
	return nil
}

func (s *Store) get(r *http.Request) (int, any) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, row := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("From") && (q.Get("To") == "" || k.key < q.Get("To")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	body := s.bodyLocked(rows)
	body.HasMore = more
	return http.StatusOK, body
}

func (s *Store) feed(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("After"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, rowsBody{}
	}
	wait, err := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, rowsBody{}
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		newest := map[rowKey]row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > after; i-- {
			if h := s.history[i]; h.Table == q.Get("Table") {
				if _, ok := newest[h.key()]; !ok {
					newest[h.key()] = h
				}
			}
		}
		var rows []row
		for _, h := range newest {
			rows = append(rows, h)
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
		changed, body := s.changed, s.bodyLocked(rows)
		s.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, body
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, body
		case <-r.Context().Done():
			return http.StatusOK, body
		}
	}
}
