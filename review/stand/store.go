// Package stand holds small stand-ins for the users' platform, its workers and its callers,
// and the judge that compares what they have seen with the rules. They follow the users'
// pages; where those say nothing they behave like a sound server.
package stand

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as on the sheet of a small deployment.
const (
	rowBytes      = 65536
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	txTime        = 4 * time.Millisecond
	historyLength = 20 * time.Second
)

// Row is a row of the store on the wire.
type Row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     int64  `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *Row) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type change struct {
	row Row
	at  time.Time
}

// Store is the stand-in for the platform's store.
type Store struct {
	Addr string

	started time.Time
	rec     *Record

	mu      sync.Mutex
	rows    map[rowKey]Row
	ver     int64
	log     []change
	trimmed int64 // newest version that the history no longer holds
	down    bool
	changed chan struct{} // closed and replaced at each change
}

// NewStore starts an empty store.
func NewStore(rec *Record) (*Store, error) {
	s := &Store{started: time.Now(), rec: rec, rows: map[rowKey]Row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	addr, _, err := listenAndServe(mux)
	s.Addr = addr
	return s, err
}

// SetDown makes the store answer every call with 503, or ends that.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.rec.Event("store", "down=%v", down)
	close(s.changed) // calls that wait are answered at once
	s.changed = make(chan struct{})
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *Store) nowMs() int64 { return time.Since(s.started).Milliseconds() }

// Put writes a row of the operator or of a worker. It reports whether the store took it.
func (s *Store) Put(table, key string, v any) bool {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.apply([]Row{{Table: table, Key: key, Value: b}}, nil)
	return true
}

// Remove deletes a row of the platform's own.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []Row{{Table: table, Key: key}})
}

// apply writes and deletes rows as one version. The caller holds the lock.
func (s *Store) apply(writes, deletes []Row) {
	s.ver++
	now := time.Now()
	for _, r := range writes {
		r.Ver = s.ver
		s.rows[r.id()] = r
		s.log = append(s.log, change{r, now})
	}
	for _, r := range deletes {
		if _, ok := s.rows[r.id()]; !ok {
			continue
		}
		delete(s.rows, r.id())
		r.Ver, r.Deleted, r.Value = s.ver, true, nil
		s.log = append(s.log, change{r, now})
	}
	old := 0
	for old < len(s.log) && now.Sub(s.log[old].at) > historyLength {
		s.trimmed = s.log[old].row.Ver
		old++
	}
	s.log = s.log[old:]
	close(s.changed)
	s.changed = make(chan struct{})
}

type txBody struct {
	Precondition []Row `json:"Precondition"`
	Writes       []Row `json:"Writes"`
	Deletes      []Row `json:"Deletes"`
}

type rowsBody struct {
	Rows    []Row `json:"rows,omitempty"`
	HasMore bool  `json:"HasMore"`
	Ver     int64 `json:"Ver"`
	NowMs   int64 `json:"NowMs"`
}

func (s *Store) serveTx(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var tx txBody
	if err := json.Unmarshal(raw, &tx); err != nil || len(raw) > maxTxBytes || len(tx.Precondition)+len(tx.Writes)+len(tx.Deletes) > maxTxEntries {
		s.rec.Event("store", "400: %d bytes in a transaction", len(raw))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range tx.Writes {
		if len(row.Value) > rowBytes {
			s.rec.Limited("store 400", "store", "400: row %s/%s of %d bytes, at most %d", row.Table, row.Key, len(row.Value), rowBytes)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	status, out := http.StatusOK, rowsBody{}
	for _, want := range tx.Precondition {
		if s.rows[want.id()].Ver != want.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		s.apply(tx.Writes, tx.Deletes)
	} else {
		for _, want := range tx.Precondition {
			if row, ok := s.rows[want.id()]; ok {
				out.Rows = append(out.Rows, row)
			}
		}
	}
	out.Ver, out.NowMs = s.ver, s.nowMs()
	s.mu.Unlock()
	writeJSON(w, status, out)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []Row
	for k, row := range s.rows {
		if k.table == q.Get("Table") && k.part == q.Get("part") && k.key >= q.Get("From") && (q.Get("To") == "" || k.key < q.Get("To")) {
			rows = append(rows, row)
		}
	}
	out := rowsBody{Ver: s.ver, NowMs: s.nowMs()}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	size := 0
	for i, row := range rows {
		if size += len(row.Value) * 4 / 3; i >= limit || size > maxPageBytes && i > 0 {
			out.HasMore = true
			break
		}
		out.Rows = append(out.Rows, row)
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	until := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer until.Stop()
	for {
		s.mu.Lock()
		down, lost, changed := s.down, after < s.trimmed, s.changed
		out := rowsBody{Ver: s.ver, NowMs: s.nowMs()}
		for _, c := range s.log {
			if c.row.Ver > after && c.row.Table == q.Get("Table") {
				out.Rows = append(out.Rows, c.row)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case lost:
			w.WriteHeader(http.StatusGone)
			return
		case len(out.Rows) > 0:
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			writeJSON(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}
