package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storedRow is a row in the JSON format of the platform's store.
type storedRow struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     int64  `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's store: rows in tables, transactions and a feed of changes.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]storedRow
	history []storedRow // every change in the order of its version
	version int64
	changed chan struct{} // closed and replaced at each change
	started time.Time
	fault   func(caller, path string) storeFault   // nil for none
	late    func(writes []storedRow) time.Duration // after which a transaction without an answer is carried out; 0 for none
	writes  int                                    // transactions so far
	url     string

	channels *channels
}

// storeFault is what happens to one call.
type storeFault struct {
	delay      time.Duration // before the call is carried out
	status     int           // answered at once instead; 0 for none
	silent     bool          // nothing is done, and no answer comes
	loseAnswer bool          // the call is carried out, and no answer comes
}

func newStore() *store {
	s := &store{rows: map[rowID]storedRow{}, changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.with(s.transact))
	mux.HandleFunc("GET /rows-get", s.with(s.get))
	mux.HandleFunc("GET /rows-feed", s.with(s.feed))
	s.url, s.channels = serve(mux)
	return s
}

// with applies the fault in force to a call.
func (s *store) with(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		var f storeFault
		if fault != nil {
			f = fault(r.RemoteAddr, r.URL.Path)
		}
		if f.delay > 0 {
			time.Sleep(f.delay)
		}
		switch {
		case f.silent:
			<-r.Context().Done()
			return
		case f.status != 0:
			w.WriteHeader(f.status)
			return
		case f.loseAnswer:
			next(&discardWriter{}, r)
			hang(w, r)
			return
		}
		next(w, r)
	}
}

// setLate replaces the choice of transactions that are carried out late.
func (s *store) setLate(f func(writes []storedRow) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = f
}

// setFault replaces the fault in force.
func (s *store) setFault(f func(caller, path string) storeFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// count returns the number of transactions so far.
func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// now is the store's steady clock in milliseconds.
func (s *store) now() int64 { return 50_000 + time.Since(s.started).Milliseconds() }

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storedRow{Table: table, Key: key, Value: b, Ver: s.version})
	s.wake()
}

// drop deletes a row as a worker's expiry does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowID{table, "", key}]; !ok {
		return
	}
	s.version++
	s.apply(storedRow{Table: table, Key: key, Ver: s.version, Deleted: true})
	s.wake()
}

func (s *store) apply(r storedRow) {
	id := rowID{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsBody struct {
	Rows    []storedRow `json:"rows"`
	HasMore bool        `json:"HasMore"`
	Ver     int64       `json:"Ver"`
	NowMs   int64       `json:"NowMs"`
}

// transaction is the body of a commit request.
type transaction struct {
	Precondition, Writes, Deletes []storedRow
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil || len(tx.Precondition)+len(tx.Writes)+len(tx.Deletes) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	late := s.late
	s.mu.Unlock()
	if late != nil {
		if d := late(tx.Writes); d > 0 {
			go func() {
				time.Sleep(d)
				s.commit(tx)
			}()
			hang(w, r)
		}
	}
	time.Sleep(4 * time.Millisecond)
	status, out := s.commit(tx)
	reply(w, status, out)
}

// commit applies a transaction and returns the status and the body of the response.
func (s *store) commit(tx transaction) (int, rowsBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, status := rowsBody{Rows: []storedRow{}}, http.StatusOK
	for _, p := range tx.Precondition {
		cur, ok := s.rows[rowID{p.Table, p.Part, p.Key}]
		if cur.Ver != p.Ver {
			status = http.StatusPreconditionFailed
		}
		if ok {
			out.Rows = append(out.Rows, cur)
		}
	}
	if status == http.StatusOK {
		out.Rows = []storedRow{}
		s.version++
		for _, r := range tx.Writes {
			r.Ver = s.version
			s.apply(r)
		}
		for _, r := range tx.Deletes {
			if _, ok := s.rows[rowID{r.Table, r.Part, r.Key}]; ok {
				s.apply(storedRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.version, Deleted: true})
			}
		}
		s.wake()
	}
	out.Ver, out.NowMs = s.version, s.now()
	return status, out
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	out := rowsBody{Rows: []storedRow{}, Ver: s.version, NowMs: s.now()}
	for id, row := range s.rows {
		if id.table == q.Get("Table") && id.part == q.Get("part") && id.key >= q.Get("From") && (q.Get("To") == "" || id.key < q.Get("To")) {
			out.Rows = append(out.Rows, row)
		}
	}
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })
	if len(out.Rows) > limit {
		out.Rows, out.HasMore = out.Rows[:limit], true
	}
	reply(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		out := rowsBody{Rows: []storedRow{}, Ver: s.version, NowMs: s.now()}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, row := range s.history[first:] {
			if row.Table == q.Get("Table") {
				out.Rows = append(out.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Rows) > 0 {
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}
