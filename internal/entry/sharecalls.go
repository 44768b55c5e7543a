package entry

import (
	"context"
	"encoding/json"

	"skylarkport/internal/member"
	"skylarkport/internal/result"
	"skylarkport/internal/share"
)

// Methods between the entries of a zone.
const (
	methodBorrow = "share.borrow" // borrowRequest to share.Loan
	methodRenew  = "share.renew"  // loansMessage to what stands
	methodRecall = "share.recall" // loansMessage; the lender wants them back
	methodReturn = "share.return" // loansMessage; the borrower has stopped using them
	methodHeld   = "share.held"   // to the seats that are borrowed from anybody
)

// borrowRequest asks for seats.
type borrowRequest struct {
	Want int `json:"want"`
}

// loansMessage names loans.
type loansMessage struct {
	Loans []share.Loan `json:"loans"`
}

// handle answers the methods for peers.
func (s *sharing) handle() {
	g := s.entry.deps.Group
	answer(s, methodBorrow, func(from string, r borrowRequest) (any, error) {
		if s.entry.handler.LacksSlots() {
			return share.Loan{}, nil
		}
		return s.holder.Lend(s.now(), from, r.Want), nil
	})
	answer(s, methodRenew, func(from string, m loansMessage) (any, error) {
		return s.holder.Renew(s.now(), from, m.Loans), nil
	})
	answer(s, methodRecall, func(from string, m loansMessage) (any, error) {
		s.holder.HandleRecall(s.now(), from, m.Loans)
		return nil, nil
	})
	answer(s, methodReturn, func(from string, m loansMessage) (any, error) {
		s.holder.HandleReturn(s.now(), from, m.Loans)
		s.entry.handler.Wake()
		return nil, nil
	})
	g.Handle(methodHeld, func(_ context.Context, from member.Peer, _ json.RawMessage) (any, error) {
		if err := s.checkPeer(from); err != nil {
			return nil, err
		}
		seats, settled := s.holder.BorrowedPartitions()
		if !settled {
			return nil, result.Errorf(result.PeerAway, "a question for a loan is not answered yet")
		}
		return seats, nil
	})
}

// answer registers f for a method whose parameters are a T.
func answer[T any](s *sharing, method string, f func(from string, params T) (any, error)) {
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
