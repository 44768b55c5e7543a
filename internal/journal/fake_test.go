package journal

import (
	"context"
	"sort"
	"sync"

	"skylarkport/internal/contract"
	"skylarkport/internal/result"
)

// fault is what happens to the next commit, or to the next read.
type fault int

const (
	noFault       fault = iota
	commitRefused       // refused without effect
	responseLost        // applied, response lost
	notApplied          // not applied, response lost
	appliedLate         // not applied until applyDelayed is called, response lost
	rateLimited         // refused by the rate limit
	readRefused         // the next read is refused
)

// fakeTables keeps rows and objects in memory. Each commit takes the first of
// faults.
type fakeTables struct {
	mu            sync.Mutex
	rows          map[contract.Key]contract.Row
	versions      map[contract.Key]uint64
	faults        []fault
	delayedWrites [][]contract.Write
	objects       map[string][]byte
	commits       int
	beforeCommit  func() // called before a commit is processed
}

func newFakeTables() *fakeTables {
	return &fakeTables{
		rows:     map[contract.Key]contract.Row{},
		versions: map[contract.Key]uint64{},
		objects:  map[string][]byte{},
	}
}

func (f *fakeTables) next() fault {
	if len(f.faults) == 0 {
		return noFault
	}
	x := f.faults[0]
	f.faults = f.faults[1:]
	return x
}

func (f *fakeTables) Read(ctx context.Context, key contract.Key) (contract.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) > 0 && f.faults[0] == readRefused {
		f.next()
		return contract.Row{}, &contract.CallError{Code: result.PlatformRefused}
	}
	r, ok := f.rows[key]
	if !ok {
		return r, &contract.CallError{Code: result.PlatformNotFound}
	}
	return r, ctx.Err()
}

func (f *fakeTables) Scan(_ context.Context, table, from, to string, limit int) ([]contract.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []contract.Row
	for k, r := range f.rows {
		if k.Table == table && k.Row >= from && (to == "" || k.Row < to) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.Row < out[j].Key.Row })
	return out[:min(len(out), limit)], nil
}

func (f *fakeTables) Commit(ctx context.Context, writes []contract.Write) ([]uint64, error) {
	if f.beforeCommit != nil {
		f.beforeCommit()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	lostErr := &contract.CallError{Code: result.PlatformUnknown, Outcome: contract.Unknown}
	switch f.next() {
	case commitRefused:
		return nil, &contract.CallError{Code: result.PlatformRefused}
	case rateLimited:
		return nil, &contract.CallError{Code: result.PlatformLimited}
	case notApplied:
		return nil, lostErr
	case appliedLate:
		f.delayedWrites = append(f.delayedWrites, writes)
		return nil, lostErr
	case responseLost:
		if _, err := f.apply(writes); err != nil {
			return nil, err
		}
		return nil, lostErr
	}
	return f.apply(writes)
}

// applyDelayed applies the delayed commits.
func (f *fakeTables) applyDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.delayedWrites {
		_, _ = f.apply(w)
	}
	f.delayedWrites = nil
}

func (f *fakeTables) apply(writes []contract.Write) ([]uint64, error) {
	for _, w := range writes {
		r, ok := f.rows[w.Key]
		bad := w.If == contract.IfAbsent && ok || w.If == contract.IfVersion && (!ok || r.Version != w.Version)
		if bad {
			return nil, &contract.CallError{Code: result.PlatformConflict, Row: w.Key}
		}
	}
	out := make([]uint64, len(writes))
	for i, w := range writes {
		switch w.Do {
		case contract.Put:
			f.versions[w.Key]++
			out[i] = f.versions[w.Key]
			f.rows[w.Key] = contract.Row{Key: w.Key, Version: out[i], Value: w.Value}
		case contract.Delete:
			delete(f.rows, w.Key)
		}
	}
	return out, nil
}

func (f *fakeTables) Put(_ context.Context, name string, body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = body
	return nil
}

func (f *fakeTables) Get(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.objects[name]
	if !ok {
		return nil, &contract.CallError{Code: result.PlatformNotFound}
	}
	return b, nil
}

func (f *fakeTables) Delete(_ context.Context, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.objects, name)
	return nil
}
