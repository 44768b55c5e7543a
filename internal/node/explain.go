package node

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"skylarkport/internal/dispatch"
	"skylarkport/internal/result"
	"skylarkport/internal/workload"
)

// methodExplain asks an instance what would become of a job. It changes nothing.
const methodExplain = "explain"

// explainTimeout bounds the call for an explanation, which an instance may pass on to the shard's
// owner.
const explainTimeout = 2 * time.Second

// ExplainRequest asks what would become of a job that was submitted now.
type ExplainRequest struct {
	Shard string        `json:"shard,omitempty"` // asks its owner; empty for the home shard
	Job   workload.Spec `json:"job"`
}

// ExplainReply answers an ExplainRequest.
type ExplainReply struct {
	Outcome
	Home        string                `json:"home,omitempty"` // home shard of the job
	Explanation *dispatch.Explanation `json:"explanation,omitempty"`
}

// explain answers for a shard that this instance owns, and asks the owner of another one.
func (n *Node) explain(ctx context.Context, r *ExplainRequest) ExplainReply {
	if r.Shard != "" {
		return n.explainLocal(ctx, r)
	}
	l := n.layout.Load()
	if l == nil {
		return ExplainReply{Outcome: outcomeOf(result.Errorf(result.NotReady, "the instance is starting"))}
	}
	home := l.HomeShard(r.Job.ID)
	own := &ExplainRequest{Shard: home, Job: r.Job}
	var reply ExplainReply
	if n.owners.localShard(home) != nil {
		reply = n.explainLocal(ctx, own)
	} else {
		ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
		defer cancel()
		if err := n.callOwner(ctx, home, methodExplain, own, &reply); err != nil {
			reply = ExplainReply{Outcome: outcomeOf(result.Wrap(result.PeerUnavailable, err, "the owner of "+home+" does not answer"))}
		}
	}
	reply.Home = home
	return reply
}

// explainLocal answers for a shard that this instance owns.
func (n *Node) explainLocal(ctx context.Context, r *ExplainRequest) ExplainReply {
	s := n.owners.localShard(r.Shard)
	if s == nil {
		return ExplainReply{Outcome: outcomeOf(result.Errorf(result.NotOwner, "shard %s", r.Shard))}
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	e, err := s.Explain(ctx, r.Job)
	if err != nil {
		return ExplainReply{Outcome: outcomeOf(err)}
	}
	return ExplainReply{Outcome: outcomeOf(nil), Explanation: e}
}

// Explain asks the instance with the given control address what would become of a job.
func Explain(ctx context.Context, control string, job workload.Spec) (ExplainReply, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	c, err := new(net.Dialer).DialContext(ctx, "tcp", control)
	if err != nil {
		return ExplainReply{}, result.Wrap(result.PeerUnavailable, err, control)
	}
	stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(rejectCalls), jsonrpc2.SetLogger(discardLogger{}))
	defer closeConn(conn)
	var reply ExplainReply
	if err := conn.Call(ctx, methodExplain, ExplainRequest{Job: job}, &reply); err != nil {
		return ExplainReply{}, result.Wrap(result.PeerUnavailable, err, control)
	}
	return reply, reply.err()
}

// rejectCalls handles the calls of the other end of a client's connection.
func rejectCalls(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
}

// ParseJob decodes the description of a job and validates it.
func ParseJob(data []byte) (workload.Spec, error) {
	var job workload.Spec
	if err := json.Unmarshal(data, &job); err != nil {
		return job, result.Wrap(result.JobBad, err, "not a job")
	}
	return job, job.Validate()
}
