package standin

import (
	"context"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/platform"
	"skylarkport/internal/result"
)

// service names a service of the platform as a fault's target.
type service string

const (
	tableService    service = "tables"
	objectService   service = "objects"
	instanceService service = "instances"
)

// call applies the faults in force to a call around its effect. A call that
// fails with the outcome Unknown has no answer: over HTTP its connection breaks.
func (s *System) call(ctx context.Context, from platform.From, to service, write bool, effect func() error) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout.D())
	defer cancel()
	if err := s.faults.pass(ctx, from.Zone, PlatformZone, result.PlatformUnknown); err != nil {
		return err
	}
	if _, hit := s.faults.hit(Down, string(to)); hit {
		return refused(result.PlatformRefused, string(to)+" are down")
	}
	err := s.apply(ctx, to, write, effect)
	if contract.OutcomeOf(err) == contract.Unknown && err != nil {
		return err
	}
	if f, hit := s.faults.hit(Slow, string(to)); hit && sleep(ctx, f.Delay.D()) != nil {
		return unknown(result.PlatformUnknown, "no answer in time")
	}
	if write && err == nil {
		if _, hit := s.faults.hit(Lost, string(to)); hit {
			return unknown(result.PlatformUnknown, "the answer was lost")
		}
	}
	if err := s.faults.pass(ctx, PlatformZone, from.Zone, result.PlatformUnknown); err != nil {
		return err
	}
	return err
}

// apply runs effect now or, under a Late fault, later.
func (s *System) apply(ctx context.Context, to service, write bool, effect func() error) error {
	if !write {
		return effect()
	}
	f, hit := s.faults.hit(Late, string(to))
	if !hit {
		return effect()
	}
	done := make(chan error, 1)
	time.AfterFunc(f.Delay.D(), func() { done <- effect() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return unknown(result.PlatformUnknown, "no answer in time")
	}
}

func refused(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Refused, Code: code, Detail: detail}
}

func unknown(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Unknown, Code: code, Detail: detail}
}
