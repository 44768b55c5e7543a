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

// path is the way of a call: the zones at its ends, the names by which a fault
// hits it, and the codes of its failures.
type path struct {
	from, to string
	targets  []string
	down     result.Code
	lost     result.Code
}

// call carries a call to one of the platform's services.
func (s *System) call(ctx context.Context, from platform.From, to service, write bool, effect func() error) error {
	p := path{from.Zone, PlatformZone, []string{string(to)}, result.PlatformRefused, result.PlatformUnknown}
	return s.carry(ctx, p, write, effect)
}

// carry applies the faults in force to a call around its effect. A call that
// fails with the outcome Unknown has no answer: over HTTP its connection breaks.
func (s *System) carry(ctx context.Context, p path, write bool, effect func() error) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout.D())
	defer cancel()
	if err := s.faults.pass(ctx, p.from, p.to, p.lost); err != nil {
		return err
	}
	if _, hit := s.faults.hit(Down, p.targets...); hit {
		return refused(p.down, p.targets[0]+" is down")
	}
	err := s.apply(ctx, p, write, effect)
	if err != nil && contract.OutcomeOf(err) == contract.Unknown {
		return err
	}
	if f, hit := s.faults.hit(Slow, p.targets...); hit && sleep(ctx, f.Delay.D()) != nil {
		return unknown(p.lost, "no answer in time")
	}
	if write && err == nil {
		if _, hit := s.faults.hit(Lost, p.targets...); hit {
			return unknown(p.lost, "the answer was lost")
		}
	}
	if err := s.faults.pass(ctx, p.to, p.from, p.lost); err != nil {
		return err
	}
	return err
}

// apply runs effect now or, under a Late fault, later: also when the caller
// gave up.
func (s *System) apply(ctx context.Context, p path, write bool, effect func() error) error {
	if !write {
		return effect()
	}
	f, hit := s.faults.hit(Late, p.targets...)
	if !hit {
		return effect()
	}
	done := make(chan error, 1)
	time.AfterFunc(f.Delay.D(), func() { done <- effect() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return unknown(p.lost, "no answer in time")
	}
}

func refused(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Refused, Code: code, Detail: detail}
}

func unknown(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Unknown, Code: code, Detail: detail}
}
