package checker

import (
	"fmt"
	"sort"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// acceptedConfiguration is a configuration that was confirmed to its operator.
type acceptedConfiguration struct {
	at      eventloop.Micros
	version uint64
}

// configurationCheck follows what operators send and read. Contents stand for a document
// and its rows, whatever the order of the rows.
type configurationCheck struct {
	*analysis
	accepted    []acceptedConfiguration
	sent        map[string]bool             // every content that anybody sent
	acceptedAt  map[string]eventloop.Micros // by content
	contentOf   map[uint64]string           // by version
	successorOf map[uint64]uint64           // by the version it was built on
	newest      *Event                      // read so far, through any gateway
	newestRead  map[string]*Event           // by gateway
	isAvailable map[string]bool             // gateways
}

// checkConfigurations: a configuration that was accepted is soon read through every gateway
// as it was sent, and no older one after it; of two built on the same version only one is
// accepted.
func (a *analysis) checkConfigurations() {
	c := &configurationCheck{
		analysis: a, sent: map[string]bool{}, acceptedAt: map[string]eventloop.Micros{}, contentOf: map[uint64]string{},
		successorOf: map[uint64]uint64{}, newestRead: map[string]*Event{}, isAvailable: map[string]bool{},
	}
	for k := range a.history {
		e := &a.history[k]
		switch e.Kind {
		case GatewayUnavailable, GatewayAvailable:
			c.isAvailable[e.Gateway] = e.Kind == GatewayAvailable
		case ConfigurationSent:
			c.sent[configurationContent(e)] = true
		case ConfigurationReply:
			c.checkReply(e)
		case ConfigurationRead:
			if e.Code == 200 {
				c.checkReadVersion(e)
				c.checkReadContent(e)
			}
		}
	}
	c.checkFinalReads()
}

// configurationContent is a configuration's document and rows, in an order of its own.
func configurationContent(e *Event) string {
	lines := make([]string, 0, len(e.Rows)+1)
	lines = append(lines, e.Document)
	for _, row := range e.Rows {
		lines = append(lines, fmt.Sprintf("%s/%s/%s=%s", row.Kind, row.Name, row.Key, row.Value))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// checkReply checks the answer to an operator who sent a configuration.
func (c *configurationCheck) checkReply(e *Event) {
	content := configurationContent(e)
	if e.State == Invalid && e.Code < 300 {
		c.report(ruleConfiguration, e.At, "a configuration that is no successor was accepted as version %d", e.Version)
	}
	at, wasAccepted := c.acceptedAt[content]
	if wasAccepted && e.Document != "" && e.sentAt() > at && e.isRefusal() {
		c.report(ruleConfiguration, e.At, "a configuration that was accepted at %d is refused with %d when it comes again", at, e.Code)
	}
	if !wasAccepted && (e.Code == 200 || e.State == AcknowledgementLost) {
		c.acceptedAt[content] = e.At
	}
	if e.Code != 200 || e.State == Invalid {
		return
	}
	c.accepted = append(c.accepted, acceptedConfiguration{e.At, e.Version})
	if e.Rows != nil {
		c.checkAcceptedOnce(e, content)
	}
}

// checkAcceptedOnce: a version has one content, and a version one successor.
func (c *configurationCheck) checkAcceptedOnce(e *Event, content string) {
	if other, known := c.contentOf[e.Version]; known && other != content {
		c.report(ruleConfiguration, e.At, "two configurations were both accepted as version %d", e.Version)
	}
	c.contentOf[e.Version] = content
	if other, known := c.successorOf[e.BaseVersion]; known && e.BaseVersion > 0 && other != e.Version {
		c.report(ruleConfiguration, e.At, "versions %d and %d were both accepted on top of %d", other, e.Version, e.BaseVersion)
	}
	c.successorOf[e.BaseVersion] = e.Version
}

// checkReadVersion: a read shows no version older than one that was accepted a propagation
// before, or that was read before.
func (c *configurationCheck) checkReadVersion(e *Event) {
	c.newestRead[e.Gateway] = e
	for _, accepted := range c.accepted {
		if e.sentAt() > accepted.at+c.bounds.Propagation && e.Version < accepted.version {
			c.report(ruleConfiguration, e.At, "version %d was accepted at %d, %s shows %d", accepted.version, accepted.at, e.Gateway, e.Version)
			break
		}
	}
	if c.newest != nil && e.sentAt() > c.newest.At && e.Version < c.newest.Version {
		c.report(ruleConfiguration, e.At, "version %d was shown at %d, and %s shows %d again", c.newest.Version, c.newest.At, e.Gateway, e.Version)
	}
	if c.newest == nil || e.Version >= c.newest.Version {
		c.newest = e
	}
}

// checkReadContent: a version is read as it was accepted, or where its answer was lost as
// somebody sent it.
func (c *configurationCheck) checkReadContent(e *Event) {
	if e.Rows == nil {
		return
	}
	content := configurationContent(e)
	expected, known := c.contentOf[e.Version]
	switch {
	case known && expected != content:
		c.report(ruleConfiguration, e.At, "version %d is shown with other content than was accepted", e.Version)
	case !known && e.Version > 1 && !c.sent[content]:
		c.report(ruleConfiguration, e.At, "version %d is shown with content that nobody sent", e.Version)
	case !known:
		c.contentOf[e.Version] = content
	}
}

// checkFinalReads: the last accepted version is read at the end, through every gateway that
// is available.
func (c *configurationCheck) checkFinalReads() {
	if len(c.accepted) == 0 {
		return
	}
	final := c.accepted[0]
	for _, accepted := range c.accepted {
		if accepted.version > final.version {
			final = accepted
		}
	}
	isRead := func(e *Event) bool { return e != nil && e.sentAt() >= final.at && e.Version >= final.version }
	for gateway, isAvailable := range c.isAvailable {
		if isAvailable && !isRead(c.newestRead[gateway]) {
			c.report(ruleConfiguration, final.at, "version %d was accepted and never read back through %s", final.version, gateway)
		}
	}
	wasRead := len(c.isAvailable) > 0
	for _, e := range c.newestRead {
		wasRead = wasRead || isRead(e)
	}
	if !wasRead {
		c.report(ruleConfiguration, final.at, "version %d was accepted and never read back", final.version)
	}
}

// rowValue finds the value of a configuration's row; empty: it has none.
func rowValue(rows []*schema.ConfigurationRow, kind, name, key string) string {
	for _, row := range rows {
		if row.Kind == kind && row.Name == name && row.Key == key {
			return row.Value
		}
	}
	return ""
}

func hasQueue(rows []*schema.ConfigurationRow, queue string) bool {
	for _, row := range rows {
		if row.Kind == "queue" && row.Name == queue {
			return true
		}
	}
	return false
}
