package standin

import (
	"context"
	"slices"
	"sync"

	"skylarkport/internal/platform"
	"skylarkport/internal/result"
)

// objectStore holds the objects by name.
type objectStore struct {
	mu   sync.Mutex
	body map[string][]byte
}

// objectsFor implements contract.Objects for one calling instance.
type objectsFor struct {
	sys  *System
	from platform.Caller
}

// Put implements contract.Objects.
func (o objectsFor) Put(ctx context.Context, name string, body []byte) error {
	body = slices.Clone(body)
	return o.sys.call(ctx, o.from, objectService, true, func() error {
		if name == "" {
			return refused(result.PlatformBadCall, "empty object name")
		}
		s := &o.sys.objects
		s.mu.Lock()
		defer s.mu.Unlock()
		s.body[name] = body
		return nil
	})
}

// Get implements contract.Objects.
func (o objectsFor) Get(ctx context.Context, name string) (body []byte, err error) {
	err = o.sys.call(ctx, o.from, objectService, false, func() error {
		s := &o.sys.objects
		s.mu.Lock()
		defer s.mu.Unlock()
		b, ok := s.body[name]
		if !ok {
			return refused(result.PlatformNotFound, name)
		}
		body = slices.Clone(b)
		return nil
	})
	return body, err
}

// Delete implements contract.Objects.
func (o objectsFor) Delete(ctx context.Context, name string) error {
	return o.sys.call(ctx, o.from, objectService, true, func() error {
		s := &o.sys.objects
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.body, name)
		return nil
	})
}
