package entry

import (
	"context"
	"encoding/json"

	"skylarkport/internal/member"
	"skylarkport/internal/result"
	"skylarkport/internal/share"
)

// Methods that the entries of a zone call at each other, with their parameters and
// results.
const (
	methodBorrow = "share.borrow" // borrowRequest; returns the share.Loan that is granted
	methodRenew  = "share.renew"  // loansMessage; returns the loans that were extended
	methodRecall = "share.recall" // loansMessage from the lender, which wants the partitions back
	methodReturn = "share.return" // loansMessage from the borrower, which has stopped using them
	methodHeld   = "share.held"   // no parameters; returns all partitions that the callee borrows
)

// borrowRequest asks a peer to lend partitions.
type borrowRequest struct {
	Want int `json:"want"` // number of partitions
}

// loansMessage identifies loans between the caller and the callee.
type loansMessage struct {
	Loans []share.Loan `json:"loans"`
}

// registerHandlers registers the methods that other entries call. An entry that lacks
// slots itself lends none.
func (s *sharing) registerHandlers() {
	g := s.entry.deps.Group
	handleMethod(s, methodBorrow, func(from string, r borrowRequest) (any, error) {
		if s.entry.handler.LacksSlots() {
			return share.Loan{}, nil
		}
		return s.manager.Lend(s.now(), from, r.Want), nil
	})
	handleMethod(s, methodRenew, func(from string, m loansMessage) (any, error) {
		return s.manager.Renew(s.now(), from, m.Loans), nil
	})
	handleMethod(s, methodRecall, func(from string, m loansMessage) (any, error) {
		s.manager.HandleRecall(s.now(), from, m.Loans)
		return nil, nil
	})
	handleMethod(s, methodReturn, func(from string, m loansMessage) (any, error) {
		s.manager.HandleReturn(s.now(), from, m.Loans)
		s.entry.handler.Wake()
		return nil, nil
	})
	g.Handle(methodHeld, func(_ context.Context, from member.Peer, _ json.RawMessage) (any, error) {
		if err := s.checkPeer(from); err != nil {
			return nil, err
		}
		borrowed, complete := s.manager.BorrowedPartitions()
		if !complete {
			return nil, result.Errorf(result.PeerUnavailable, "a loan request of this entry has no response yet")
		}
		return borrowed, nil
	})
}

// handleMethod registers f as the handler of a method with parameters of type T. Only
// entries of the same zone may call it.
func handleMethod[T any](s *sharing, method string, f func(from string, params T) (any, error)) {
	s.entry.deps.Group.Handle(method, func(_ context.Context, from member.Peer, params json.RawMessage) (any, error) {
		if err := s.checkPeer(from); err != nil {
			return nil, err
		}
		var v T
		if err := json.Unmarshal(params, &v); err != nil {
			return nil, result.Wrap(result.RequestBad, err, method)
		}
		return f(from.Instance, v)
	})
}
