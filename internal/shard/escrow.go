package shard

import (
	"context"
	"encoding/json"
	"time"

	"skylarkport/internal/bundle"
	"skylarkport/internal/contract"
	"skylarkport/internal/resource"
	"skylarkport/internal/result"
)

// QuotaTable holds, for each organisation, the part of its quota that no shard
// holds in escrow.
const QuotaTable = "quota"

const (
	escrowChangeInterval = time.Second      // between two changes of an organisation's escrow
	surplusReturnDelay   = 30 * time.Second // until unused escrow is returned
	maxEscrowChanges     = 8                // organisations whose escrow one cycle changes
	quotaReadTimeout     = 2 * time.Second
)

// quotaRow is an organisation's row in QuotaTable. Free is negative while shards
// hold more than a quota that was lowered.
type quotaRow struct {
	Bundle uint64          `json:"bundle"` // 1 + version of the bundle that sets Quota
	Quota  resource.Vector `json:"quota"`
	Free   resource.Vector `json:"free"`
}

// account tracks changes of the shard's escrow for one organisation with a quota.
type account struct {
	quota        resource.Vector
	changing     bool            // a change is being committed
	returning    resource.Vector // part of the escrow that is being returned; it is no longer usable
	nextChange   time.Duration   // earliest time of the next change
	surplusSince time.Duration   // since when the escrow exceeds the need; 0 if it does not
}

// updateQuotas replaces the quotas by those of a bundle. The caller holds o.mu.
func (o *Owner) updateQuotas(b *bundle.Bundle) {
	accounts := map[string]*account{}
	for _, org := range b.Organisations {
		if org.Quota.IsZero() {
			continue
		}
		a := o.accounts[org.Name]
		if a == nil {
			a = &account{}
		}
		a.quota = org.Quota
		accounts[org.Name] = a
	}
	o.accounts = accounts
}

// quotaLimit returns what the organisation may commit in the shard, and false for
// an organisation without a quota. Before a bundle is known, the recorded escrows
// are the limits.
func (o *Owner) quotaLimit(org string) (resource.Vector, bool) {
	a := o.accounts[org]
	if a == nil {
		amount, ok := o.decidedState.Escrow[org]
		return amount, ok && o.quotaVersion == 0
	}
	return o.decidedState.Escrow[org].Sub(a.returning), true
}

// adjustEscrows takes escrow from the organisations' quotas for waiting tasks and
// returns what is unused. Each change commits the journal entry and the quota row
// together, so the escrows of all shards and the free part always sum to the
// quota.
func (o *Owner) adjustEscrows(ctx context.Context) {
	for org, change := range o.escrowChanges() {
		if change.IsZero() {
			continue
		}
		row, version, err := o.readQuota(ctx, org)
		if err == nil {
			o.transferEscrow(org, change, row, version)
		}
	}
}

// escrowChanges returns the amounts by which escrows should grow or, if negative,
// shrink. It returns at most maxEscrowChanges organisations.
func (o *Owner) escrowChanges() map[string]resource.Vector {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.accounts) == 0 {
		return nil
	}
	waitingNeeds := map[string]resource.Vector{}
	for _, t := range o.decidedState.waiting {
		spec := t.job.Spec
		waitingNeeds[spec.Organisation] = waitingNeeds[spec.Organisation].Add(spec.Needs)
	}
	now := o.now()
	out := map[string]resource.Vector{}
	for org, a := range o.accounts {
		if a.changing || now < a.nextChange || len(out) >= maxEscrowChanges {
			continue
		}
		need := o.decidedState.OrganisationHeld(org).Add(waitingNeeds[org])
		if d := a.escrowChange(o.decidedState.Escrow[org], need, now); !d.IsZero() {
			out[org] = d
		}
	}
	return out
}

// escrowChange returns the missing amount or, once there has been a surplus for
// surplusReturnDelay, the negated surplus.
func (a *account) escrowChange(have, need resource.Vector, now time.Duration) resource.Vector {
	missing := maxVector(need, have).Sub(have)
	if !missing.IsZero() {
		a.surplusSince = 0
		return missing
	}
	if have == need {
		a.surplusSince = 0
		return resource.Vector{}
	}
	if a.surplusSince == 0 {
		a.surplusSince = now
	}
	if now-a.surplusSince < surplusReturnDelay {
		return resource.Vector{}
	}
	a.surplusSince = 0
	return need.Sub(have)
}

func quotaKey(org string) contract.Key { return contract.Key{Table: QuotaTable, Row: org} }

// readQuota returns the organisation's quota row, with version 0 if there is none.
func (o *Owner) readQuota(ctx context.Context, org string) (quotaRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaReadTimeout)
	defer cancel()
	r, err := o.platform.Tables.Read(ctx, quotaKey(org))
	if contract.IsNotFound(err) {
		return quotaRow{}, 0, nil
	}
	if err != nil {
		return quotaRow{}, 0, err
	}
	var row quotaRow
	err = json.Unmarshal(r.Value, &row)
	return row, r.Version, result.Wrap(result.Internal, err, "decode quota row of "+org)
}

// transferEscrow moves an amount from the quota row to the shard's escrow, or back
// if it is negative. It takes no more than is free and returns no more than is
// unused.
func (o *Owner) transferEscrow(org string, change resource.Vector, row quotaRow, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.accounts[org]
	if a == nil || o.err != nil {
		return
	}
	if o.quotaVersion > row.Bundle {
		row.Free = row.Free.Add(a.quota).Sub(row.Quota)
		row.Bundle, row.Quota = o.quotaVersion, a.quota
	}
	have := o.decidedState.Escrow[org]
	change = minVector(change, maxVector(row.Free, resource.Vector{}))
	if returning := (resource.Vector{}).Sub(minVector(change, resource.Vector{})); !returning.IsZero() {
		// Runs that were placed since the change was computed stay covered.
		unused := maxVector(have.Sub(o.decidedState.OrganisationHeld(org)), resource.Vector{})
		change = resource.Vector{}.Sub(minVector(returning, unused))
	}
	a.nextChange = o.now() + escrowChangeInterval
	if change.IsZero() {
		return
	}
	row.Free = row.Free.Sub(change)
	w := contract.Write{Key: quotaKey(org), If: contract.IfVersion, Version: version, Do: contract.Put, Value: encodeJSON(row)}
	if version == 0 {
		w.If, w.Version = contract.IfAbsent, 0
	}
	a.changing = true
	a.returning = maxVector(resource.Vector{}.Sub(change), resource.Vector{})
	r := &Record{Escrow: &EscrowRecord{Organisation: org, Amount: have.Add(change)}}
	o.proposeConditional(r, w, func() { a.changing, a.returning = false, resource.Vector{} })
}

func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: only plain structs are encoded
	}
	return b
}

func minVector(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
