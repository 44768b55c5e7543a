package standin

import (
	"context"
	"time"

	"skylarkport/internal/contract"
	"skylarkport/internal/platform"
	"skylarkport/internal/result"
)

// service names a service of the platform as the target of a fault.
type service string

const (
	tableService    service = "tables"
	objectService   service = "objects"
	instanceService service = "instances"
)

// callPath describes a call for fault injection: the zones of its caller and its target,
// the target names of faults that affect it, and the result codes for a call that is
// refused or whose outcome is unknown.
type callPath struct {
	from, to    string
	targets     []string
	refusedCode result.Code
	unknownCode result.Code
}

// call makes a call to one of the platform's services under the faults in force.
func (s *System) call(ctx context.Context, from platform.Caller, to service, write bool, effect func() error) error {
	p := callPath{from.Zone, PlatformZone, []string{string(to)}, result.PlatformRefused, result.PlatformUnknown}
	return s.callUnderFaults(ctx, p, write, effect)
}

// callUnderFaults runs effect, the operation of a call, under the faults in force for the
// call's path. A call that fails with the outcome Unknown gets no response; over HTTP its
// connection is closed.
func (s *System) callUnderFaults(ctx context.Context, p callPath, write bool, effect func() error) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout.D())
	defer cancel()
	if err := s.faults.waitWhilePartitioned(ctx, p.from, p.to, p.unknownCode); err != nil {
		return err
	}
	if _, match := s.faults.match(Down, p.targets...); match {
		return refused(p.refusedCode, p.targets[0]+" is down")
	}
	err := s.runEffect(ctx, p, write, effect)
	if err != nil && contract.OutcomeOf(err) == contract.Unknown {
		return err
	}
	if f, match := s.faults.match(Slow, p.targets...); match && sleep(ctx, f.Delay.D()) != nil {
		return unknown(p.unknownCode, "no response before the timeout")
	}
	if write && err == nil {
		if _, match := s.faults.match(LostResponse, p.targets...); match {
			return unknown(p.unknownCode, "the response was lost")
		}
	}
	if err := s.faults.waitWhilePartitioned(ctx, p.to, p.from, p.unknownCode); err != nil {
		return err
	}
	return err
}

// runEffect runs effect at once or, under a Late fault, after the fault's delay, even if
// the caller has given up by then.
func (s *System) runEffect(ctx context.Context, p callPath, write bool, effect func() error) error {
	if !write {
		return effect()
	}
	f, match := s.faults.match(Late, p.targets...)
	if !match {
		return effect()
	}
	done := make(chan error, 1)
	time.AfterFunc(f.Delay.D(), func() { done <- effect() })
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return unknown(p.unknownCode, "no response before the timeout")
	}
}

// refused returns the error of a call that certainly had no effect.
func refused(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Refused, Code: code, Detail: detail}
}

// unknown returns the error of a call that may have taken effect.
func unknown(code result.Code, detail string) error {
	return &contract.CallError{Outcome: contract.Unknown, Code: code, Detail: detail}
}
