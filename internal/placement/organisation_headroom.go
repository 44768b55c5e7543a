package placement

// organisationHeadroom checks that the task's commitment fits into what remains of
// the organisation's quota in this shard.
type organisationHeadroom struct{}

func (organisationHeadroom) name() string { return StageOrganisationHeadroom }

func (organisationHeadroom) check(c *cycle, t *candidate) (Step, string) {
	h, limited := c.headroom[t.pending.Spec.Organisation]
	if !limited || t.commit.Fits(h) {
		return "", ""
	}
	return Wait, "the tenant's quota in this shard is spent"
}

// charge subtracts t's commitment from its organisation's headroom.
func (c *cycle) charge(t *candidate) {
	if h, limited := c.headroom[t.pending.Spec.Organisation]; limited {
		c.headroom[t.pending.Spec.Organisation] = h.Sub(t.commit)
	}
}
