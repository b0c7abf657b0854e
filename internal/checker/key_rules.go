package checker

import (
	"net/http"
	"slices"
)

// keyFinding names what is reported once of each key.
type keyFinding struct {
	keyHash string
	code    int32
}

// checkKeys: a call succeeds only with a key that a configuration which may be in force
// holds, and never with one that no configuration has held; no call is refused for its key
// that all of them allow. Calls for queues that a configuration lacks are those of
// checkQueueKnown, jobs that are unknown those of checkAcceptedJobIsKnown.
func (a *analysis) checkKeys() {
	if !a.usesTenants() {
		return
	}
	reported := map[keyFinding]bool{}
	for k := range a.history {
		e := &a.history[k]
		if !e.isClientReply() {
			continue
		}
		finding := keyFinding{e.KeyHash, e.Code}
		if problem := a.keyProblem(e); problem != "" && !reported[finding] {
			reported[finding] = true
			a.report(ruleKeys, e.At, "%s of %s with the key %q %s by %s", e.Kind, e.jobKey(), e.KeyHash, problem, e.Gateway)
		}
	}
}

// isClientReply reports whether an event is the answer to a client's call, which carries
// the key of a tenant.
func (e *Event) isClientReply() bool {
	return e.Kind == SubmitReply || e.Kind == CancelReply || e.Kind == Status && e.Actor != Lister
}

// isSuccess reports whether a call was carried out, as far as is known.
func (e *Event) isSuccess() bool {
	return e.Code >= 200 && e.Code < 300 || e.State == AcknowledgementLost
}

// keyProblem says what is wrong with the answer to a client's call; empty: nothing.
func (a *analysis) keyProblem(e *Event) string {
	configurations := a.mayBeInForce(e.sentAt(), e.At)
	allows := func(c *tenantConfiguration) bool { return c.allows(e.Queue, e.KeyHash) }
	isAllowedByAll := !slices.ContainsFunc(configurations, func(c *tenantConfiguration) bool { return !allows(c) })
	switch {
	case e.isSuccess() && e.KeyHash != "" && a.tenantEverOfKey(e.KeyHash) == "" && a.requiredKeysBefore(e):
		return "that no configuration has held is served"
	case e.isSuccess() && !slices.ContainsFunc(configurations, allows):
		return "that no configuration in force holds is served"
	case e.Code == http.StatusUnauthorized && isAllowedByAll:
		return "that every configuration in force allows is refused with 401"
	case e.Code == http.StatusForbidden && isAllowedByAll && a.tenantEverOfKey(e.KeyHash) == a.tenantOfJob[e.jobKey()]:
		return "of the job's own tenant is refused with 403"
	}
	return ""
}

// requiredKeysBefore reports whether a configuration that requires keys had been accepted
// when a call was sent, and all since then have required them.
func (a *analysis) requiredKeysBefore(e *Event) bool {
	found := false
	for _, c := range a.tenantConfigurations[1:] {
		if c.sentAt <= e.At && !c.requiresKeys {
			return false
		}
		found = found || c.isAccepted && c.acceptedAt <= e.sentAt()
	}
	return found
}

// readTenantsOfJobs finds whose each job is: the tenant whose submission was confirmed
// first; where none was, the only one that submitted it.
func (a *analysis) readTenantsOfJobs() {
	if !a.usesTenants() {
		return
	}
	submitters := map[jobKey]map[string]bool{}
	for k := range a.history {
		e := &a.history[k]
		tenant := ""
		if e.KeyHash != "" {
			tenant = a.tenantEverOfKey(e.KeyHash)
		}
		if tenant == "" {
			continue
		}
		switch {
		case e.Kind == Submit:
			if submitters[e.jobKey()] == nil {
				submitters[e.jobKey()] = map[string]bool{}
			}
			submitters[e.jobKey()][tenant] = true
		case e.Kind == SubmitReply && e.isSuccess() && a.tenantOfJob[e.jobKey()] == "":
			a.tenantOfJob[e.jobKey()] = tenant
		}
	}
	for key, tenants := range submitters {
		for tenant := range tenants {
			if len(tenants) == 1 && a.tenantOfJob[key] == "" {
				a.tenantOfJob[key] = tenant
			}
		}
	}
}

// checkTenantsOfJobs: a job is one tenant's. Calls about it with the key of another fail,
// and what is shown of it names no other tenant.
func (a *analysis) checkTenantsOfJobs() {
	if !a.usesTenants() {
		return
	}
	reported := map[jobKey]bool{}
	for k := range a.history {
		e := &a.history[k]
		owner := a.tenantOfJob[e.jobKey()]
		if owner == "" || reported[e.jobKey()] || !e.isClientReply() || !e.isSuccess() {
			continue
		}
		caller := a.tenantEverOfKey(e.KeyHash)
		switch {
		case e.KeyHash != "" && caller != "" && caller != owner:
			reported[e.jobKey()] = true
			a.report(ruleTenants, e.At, "%s of %s, a job of the tenant %s, with a key of %s is served by %s", e.Kind, e.jobKey(), owner, caller, e.Gateway)
		case e.Tenant != "" && e.Tenant != owner:
			reported[e.jobKey()] = true
			a.report(ruleTenants, e.At, "%s, a job of the tenant %s, is shown as one of %s by %s", e.jobKey(), owner, e.Tenant, e.Gateway)
		}
	}
}
