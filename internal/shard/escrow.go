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

// QuotaTable holds, per tenant, what of its quota no shard holds in escrow.
const QuotaTable = "quota"

const (
	quotaPause    = time.Second      // between two changes of a tenant's escrow
	surplusPause  = 30 * time.Second // before an unused escrow is given back
	quotasAtOnce  = 8                // tenants that one cycle looks at
	quotaCallTime = 2 * time.Second
)

// quotaRow is a tenant's row. Free may be negative after a quota was lowered.
type quotaRow struct {
	Bundle uint64          `json:"bundle"` // 1 + version that Quota comes from
	Quota  resource.Vector `json:"quota"`
	Free   resource.Vector `json:"free"`
}

// account is what the owner does about one limited tenant.
type account struct {
	quota   resource.Vector
	busy    bool            // a change is on its way
	back    resource.Vector // on its way back, no longer to be used
	next    time.Duration   // no change before
	surplus time.Duration   // since when more is held than used; 0 for not
}

// limit takes the quotas of a bundle in. The lock is held.
func (o *Owner) limit(b *bundle.Bundle) {
	accounts := map[string]*account{}
	for _, t := range b.Tenants {
		if t.Quota.IsZero() {
			continue
		}
		a := o.accounts[t.Name]
		if a == nil {
			a = &account{}
		}
		a.quota = t.Quota
		accounts[t.Name] = a
	}
	o.accounts = accounts
}

// affordable is what the tenant may commit in the shard. It reports false for a
// tenant without a quota. Before a bundle is known, the recorded escrows hold.
func (o *Owner) affordable(tenant string) (resource.Vector, bool) {
	a := o.accounts[tenant]
	if a == nil {
		amount, ok := o.st.Escrow[tenant]
		return amount, ok && o.quotas == 0
	}
	return o.st.Escrow[tenant].Sub(a.back), true
}

// escrow draws on the tenants' quotas for what waits here, and gives back what
// is not used. Each change is one commit of the journal and the quota's row, so
// that the escrows and the free part always sum to the quota.
func (o *Owner) escrow(ctx context.Context) {
	for tenant, change := range o.changes() {
		if change.IsZero() {
			continue
		}
		row, version, err := o.readQuota(ctx, tenant)
		if err == nil {
			o.transfer(tenant, change, row, version)
		}
	}
}

// changes returns by how much the escrow of tenants should change.
func (o *Owner) changes() map[string]resource.Vector {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.accounts) == 0 {
		return nil
	}
	waits := map[string]resource.Vector{}
	for _, t := range o.st.waiting {
		spec := t.job.Spec
		waits[spec.Tenant] = waits[spec.Tenant].Add(spec.Needs)
	}
	now := o.now()
	out := map[string]resource.Vector{}
	for tenant, a := range o.accounts {
		if a.busy || now < a.next || len(out) >= quotasAtOnce {
			continue
		}
		need := o.st.TenantHeld(tenant).Add(waits[tenant])
		if d := a.change(o.st.Escrow[tenant], need, now); !d.IsZero() {
			out[tenant] = d
		}
	}
	return out
}

// change is what is missing, or, after a pause, minus what is not needed.
func (a *account) change(have, need resource.Vector, now time.Duration) resource.Vector {
	missing := largest(need, have).Sub(have)
	if !missing.IsZero() {
		a.surplus = 0
		return missing
	}
	if have == need {
		a.surplus = 0
		return resource.Vector{}
	}
	if a.surplus == 0 {
		a.surplus = now
	}
	if now-a.surplus < surplusPause {
		return resource.Vector{}
	}
	a.surplus = 0
	return need.Sub(have)
}

func quotaKey(tenant string) contract.Key { return contract.Key{Table: QuotaTable, Row: tenant} }

// readQuota returns the tenant's row, with version 0 where there is none yet.
func (o *Owner) readQuota(ctx context.Context, tenant string) (quotaRow, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaCallTime)
	defer cancel()
	r, err := o.ext.Tables.Read(ctx, quotaKey(tenant))
	if contract.IsNotFound(err) {
		return quotaRow{}, 0, nil
	}
	if err != nil {
		return quotaRow{}, 0, err
	}
	var row quotaRow
	err = json.Unmarshal(r.Value, &row)
	return row, r.Version, result.Wrap(result.Internal, err, "quota row of "+tenant)
}

// transfer moves an amount between the row and the shard's escrow.
func (o *Owner) transfer(tenant string, change resource.Vector, row quotaRow, version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.accounts[tenant]
	if a == nil || o.err != nil {
		return
	}
	if o.quotas > row.Bundle {
		row.Free = row.Free.Add(a.quota).Sub(row.Quota)
		row.Bundle, row.Quota = o.quotas, a.quota
	}
	have := o.st.Escrow[tenant]
	change = smallest(change, largest(row.Free, resource.Vector{}))
	if back := (resource.Vector{}).Sub(smallest(change, resource.Vector{})); !back.IsZero() {
		// What was placed meanwhile stays covered.
		spare := largest(have.Sub(o.st.TenantHeld(tenant)), resource.Vector{})
		change = resource.Vector{}.Sub(smallest(back, spare))
	}
	a.next = o.now() + quotaPause
	if change.IsZero() {
		return
	}
	row.Free = row.Free.Sub(change)
	w := contract.Write{Key: quotaKey(tenant), If: contract.IfVersion, Version: version, Do: contract.Put, Value: encodeJSON(row)}
	if version == 0 {
		w.If, w.Version = contract.IfAbsent, 0
	}
	a.busy = true
	a.back = largest(resource.Vector{}.Sub(change), resource.Vector{})
	r := &Record{Escrow: &EscrowRecord{Tenant: tenant, Amount: have.Add(change)}}
	o.proposeLate(r, w, func() { a.busy, a.back = false, resource.Vector{} })
}

func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain structs come here
	}
	return b
}

func smallest(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
