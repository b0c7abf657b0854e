package checker

import (
	"net/http"
	"slices"
)

// keyFinding identifies a problem with a key, so that it is reported only once.
type keyFinding struct {
	keyHash string
	code    int32
}

// checkKeys checks that a call succeeds only if a configuration that may be in force allows
// its key, and never with a key that no configuration has contained. A call that every such
// configuration allows must not be refused because of its key. checkQueueKnown checks calls
// for unknown queues, and checkAcceptedJobIsKnown those for unknown jobs.
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
			a.report(ruleKeys, e.At, "%s of %s with the key %q, %s by %s", e.Kind, e.jobKey(), e.KeyHash, problem, e.Gateway)
		}
	}
}

// isClientReply reports whether the event is the answer to a client's call. Such calls may
// contain the key of a tenant, unlike the requests of Lister.
func (e *Event) isClientReply() bool {
	return e.Kind == SubmitReply || e.Kind == CancelReply || e.Kind == Status && e.Actor != Lister
}

// isSuccess reports whether the call is known to have been carried out.
func (e *Event) isSuccess() bool {
	return e.Code >= 200 && e.Code < 300 || e.State == AcknowledgementLost
}

// keyProblem returns what is wrong with the answer to a client's call, as a part of the
// sentence that checkKeys reports, or an empty string.
func (a *analysis) keyProblem(e *Event) string {
	configurations := a.mayBeInForce(e.sentAt(), e.At)
	allows := func(c *tenantConfiguration) bool { return c.allows(e.Queue, e.KeyHash) }
	isAllowedByAll := !slices.ContainsFunc(configurations, func(c *tenantConfiguration) bool { return !allows(c) })
	switch {
	case e.isSuccess() && e.KeyHash != "" && a.tenantEverOfKey(e.KeyHash) == "" && a.requiredKeysBefore(e):
		return "which no configuration has contained, is carried out"
	case e.isSuccess() && !slices.ContainsFunc(configurations, allows):
		return "which no configuration in force allows, is carried out"
	case e.Code == http.StatusUnauthorized && isAllowedByAll:
		return "which every configuration in force allows, is refused with 401"
	case e.Code == http.StatusForbidden && isAllowedByAll && a.tenantEverOfKey(e.KeyHash) == a.tenantOfJob[e.jobKey()]:
		return "which belongs to the job's own tenant, is refused with 403"
	}
	return ""
}

// requiredKeysBefore reports whether a configuration had been accepted when the call was sent,
// and every configuration that was sent before the answer requires keys.
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

// readTenantsOfJobs determines the tenant that owns each job: the one whose submission was
// confirmed first, or else the only one that submitted the job.
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

// checkTenantsOfJobs checks that a job belongs to one tenant: calls for the job with a key of
// another tenant fail, and no answer names another tenant as the owner.
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
			a.report(ruleTenants, e.At, "%s of %s, a job of the tenant %s, with a key of the tenant %s is carried out by %s", e.Kind, e.jobKey(), owner, caller, e.Gateway)
		case e.Tenant != "" && e.Tenant != owner:
			reported[e.jobKey()] = true
			a.report(ruleTenants, e.At, "%s, a job of the tenant %s, is reported as a job of the tenant %s by %s", e.jobKey(), owner, e.Tenant, e.Gateway)
		}
	}
}
