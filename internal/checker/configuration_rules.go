package checker

import (
	"fmt"
	"sort"
	"strings"

	"sparnotch/internal/eventloop"
	"sparnotch/internal/schema"
)

// acceptedConfiguration is a configuration whose acceptance was confirmed to the operator.
type acceptedConfiguration struct {
	at      eventloop.Micros
	version uint64
}

// configurationCheck tracks the configurations that operators send and read. A content
// string, from configurationContent, represents a document and its rows regardless of the
// order of the rows.
type configurationCheck struct {
	*analysis
	accepted    []acceptedConfiguration
	sent        map[string]bool             // contents that an operator sent
	acceptedAt  map[string]eventloop.Micros // time of acceptance by content
	contentOf   map[uint64]string           // content by version
	successorOf map[uint64]uint64           // version that was accepted on top of each base version
	newest      *Event                      // newest version read so far, through any gateway
	newestRead  map[string]*Event           // last read by gateway
	isAvailable map[string]bool             // by gateway
}

// checkConfigurations checks that every gateway soon returns an accepted configuration with
// the content that was sent, and no older one from then on. Of two configurations with the
// same base version only one may be accepted.
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

// configurationContent returns a text of the configuration's document and sorted rows.
func configurationContent(e *Event) string {
	lines := make([]string, 0, len(e.Rows)+1)
	lines = append(lines, e.Document)
	for _, row := range e.Rows {
		lines = append(lines, fmt.Sprintf("%s/%s/%s=%s", row.Kind, row.Name, row.Key, row.Value))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// checkReply checks the answer to a configuration that an operator sent.
func (c *configurationCheck) checkReply(e *Event) {
	content := configurationContent(e)
	if e.State == Invalid && e.Code < 300 {
		c.report(ruleConfiguration, e.At, "a configuration that must be rejected was accepted as version %d", e.Version)
	}
	at, wasAccepted := c.acceptedAt[content]
	if wasAccepted && e.Document != "" && e.sentAt() > at && e.isRefusal() {
		c.report(ruleConfiguration, e.At, "a configuration that was accepted at %d is refused with status %d when it is sent again", at, e.Code)
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

// checkAcceptedOnce checks that a version has only one content and only one successor.
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

// checkReadVersion checks that a read returns no version older than one that was accepted
// more than the propagation time before, or that had already been read.
func (c *configurationCheck) checkReadVersion(e *Event) {
	c.newestRead[e.Gateway] = e
	for _, accepted := range c.accepted {
		if e.sentAt() > accepted.at+c.tolerances.Propagation && e.Version < accepted.version {
			c.report(ruleConfiguration, e.At, "version %d was accepted at %d, but %s returns version %d", accepted.version, accepted.at, e.Gateway, e.Version)
			break
		}
	}
	if c.newest != nil && e.sentAt() > c.newest.At && e.Version < c.newest.Version {
		c.report(ruleConfiguration, e.At, "version %d was read at %d, but %s returns version %d afterwards", c.newest.Version, c.newest.At, e.Gateway, e.Version)
	}
	if c.newest == nil || e.Version >= c.newest.Version {
		c.newest = e
	}
}

// checkReadContent checks that a version is read with the content that was accepted. If the
// answer to the operator was lost, any content that an operator sent is correct.
func (c *configurationCheck) checkReadContent(e *Event) {
	if e.Rows == nil {
		return
	}
	content := configurationContent(e)
	expected, known := c.contentOf[e.Version]
	switch {
	case known && expected != content:
		c.report(ruleConfiguration, e.At, "version %d is read with another content than was accepted", e.Version)
	case !known && e.Version > 1 && !c.sent[content]:
		c.report(ruleConfiguration, e.At, "version %d is read with a content that no operator sent", e.Version)
	case !known:
		c.contentOf[e.Version] = content
	}
}

// checkFinalReads checks that the last accepted version was read back through every gateway
// that is available at the end of the history.
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
			c.report(ruleConfiguration, final.at, "version %d was accepted but never read back through %s", final.version, gateway)
		}
	}
	wasRead := len(c.isAvailable) > 0
	for _, e := range c.newestRead {
		wasRead = wasRead || isRead(e)
	}
	if !wasRead {
		c.report(ruleConfiguration, final.at, "version %d was accepted but never read back", final.version)
	}
}

// rowValue returns the value of a row, or an empty string if the rows don't contain it.
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
