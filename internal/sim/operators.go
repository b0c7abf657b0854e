package sim

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"sparnotch/internal/checker"
	"sparnotch/internal/clusterstate"
	"sparnotch/internal/eventloop"
	"sparnotch/internal/gateway"
	"sparnotch/internal/schema"
)

const (
	configurationRetryDelay = 200 * eventloop.Millisecond
	revisionUpdateTimeout   = 8 * eventloop.Second // for operators that replace a revision
	versionUpdateTimeout    = 4 * eventloop.Second // for operators that number versions
)

// PutConfiguration simulates an operator that replaces the configuration. The operator reads
// the current one, sends the new one based on it, and repeats both until the new one is
// accepted or already in effect.
func (s *Simulation) PutConfiguration(operator string, rows []*schema.ConfigurationRow) {
	put := s.putRevision
	if s.usesVersions {
		put, rows = s.putVersion, withDefaultPools(rows)
	}
	rows = s.routes.addTo(rows)
	retry := func() { s.After(configurationRetryDelay, func() { s.PutConfiguration(operator, rows) }) }
	s.readConfiguration(s.anyGateway(), func(current *schema.Configuration) {
		switch {
		case current == nil:
			retry()
		case !clusterstate.EqualRows(current.Rows, rows) || !s.routes.areIn(current.Rows):
			put(operator, current, rows, retry)
		}
	})
}

// putRevision replaces the configuration of a given revision. It calls retry unless the
// replace is acknowledged.
func (s *Simulation) putRevision(operator string, current *schema.Configuration, rows []*schema.ConfigurationRow, retry func()) {
	revision := current.Revision
	update := &schema.ConfigurationUpdate{BaseRevision: &revision, Rows: s.routes.named(rows), NamesAreLabels: proto.Bool(s.routes != nil)}
	node, sentAt := s.anyGateway(), s.Now
	s.Record(checker.Event{Kind: checker.ConfigurationSent, Actor: operator, Rows: rows})
	e := checker.Event{Kind: checker.ConfigurationReply, Actor: operator, Gateway: node.Name, SentAt: sentAt, BaseVersion: revision, Rows: rows}
	s.Request(node, revisionUpdateTimeout, leaderRequest(updateRequest(update)), func(answer any) {
		e.Code = responseOf(answer).Code
		if e.Code == 200 {
			e.Version = revision + 1
		}
		s.Record(e)
		if e.Code != 200 {
			retry()
		}
	})
}

// putVersion replaces a version of the configuration by one with a higher number. While it is
// unknown whether the update took effect, the same update is sent again.
func (s *Simulation) putVersion(operator string, current *schema.Configuration, rows []*schema.ConfigurationRow, retry func()) {
	version := current.Version + 1 + uint64(s.Rng.IntN(3))
	update := &schema.ConfigurationUpdate{
		Rows: s.routes.named(rows), Version: version, BaseVersion: current.Version, NamesAreLabels: proto.Bool(s.routes != nil),
		Document: []byte(fmt.Sprintf("%s %d %x", operator, version, s.Rng.Uint32())),
	}
	s.Record(checker.Event{Kind: checker.ConfigurationSent, Actor: operator, Rows: rows, Document: string(update.Document)})
	s.sendVersion(operator, update, rows, retry)
}

// sendVersion sends an update until it is known whether it took effect. The rows are those that
// the configuration has then, with the names of queues.
func (s *Simulation) sendVersion(operator string, update *schema.ConfigurationUpdate, rows []*schema.ConfigurationRow, retry func()) {
	node, sentAt := s.anyGateway(), s.Now
	e := checker.Event{
		Kind: checker.ConfigurationReply, Actor: operator, Gateway: node.Name, SentAt: sentAt, BaseVersion: update.BaseVersion,
		Rows: rows, Document: string(update.Document),
	}
	s.Request(node, versionUpdateTimeout, leaderRequest(updateRequest(update)), func(answer any) {
		response := responseOf(answer)
		if response.Code == 200 && s.drawAcknowledgementLoss() {
			response, e.State = gateway.Response{}, checker.AcknowledgementLost
		}
		e.Code = response.Code
		if response.Code == 200 || e.State == checker.AcknowledgementLost {
			e.Version = update.Version
		}
		s.Record(e)
		switch {
		case response.Code == 200:
		case isUnclear(response):
			s.After(configurationRetryDelay, func() { s.sendVersion(operator, update, rows, retry) })
		default:
			retry()
		}
	})
}

// withDefaultPools returns the rows with the main pool added for queues that have no pool.
func withDefaultPools(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	hasPool, all := map[string]bool{}, slices.Clone(rows)
	for _, row := range rows {
		if row.Kind == "queue" && row.Key == "pool" {
			hasPool[row.Name] = true
		}
	}
	for _, row := range rows {
		if row.Kind == "queue" && !hasPool[row.Name] {
			hasPool[row.Name] = true
			all = append(all, &schema.ConfigurationRow{Kind: "queue", Name: row.Name, Key: "pool", Value: mainPool})
		}
	}
	return all
}

// readConfiguration reads the configuration through a gateway, records the response and passes
// the configuration to the callback, or nil if it couldn't be read.
func (s *Simulation) readConfiguration(node *Host, onResponse func(current *schema.Configuration)) {
	sentAt := s.Now
	s.Request(node, clientTimeout, leaderRequest(configurationRequest()), func(answer any) {
		response, current := responseOf(answer), &schema.Configuration{}
		if response.Code == 200 && protojson.Unmarshal(response.Body, current) != nil {
			response.Code = 0
		}
		e := checker.Event{Kind: checker.ConfigurationRead, Actor: "reader", Code: response.Code, Version: current.Revision, Gateway: node.Name, SentAt: sentAt}
		if s.usesVersions {
			e.Version = current.Version
		}
		if response.Code != 200 {
			current = nil
		} else if s.shownVersion != e.Version {
			// The content is recorded only if the version differs from the last recorded one, to
			// keep the history small.
			s.shownVersion = e.Version
			e.Rows, e.Document = current.Rows, string(current.Document)
		}
		s.Record(e)
		onResponse(current)
	})
}

// ReadPeriodically simulates an operator that reads the configuration at an interval until a
// point in time, and then once through every gateway.
func (s *Simulation) ReadPeriodically(interval, until eventloop.Micros) {
	ignore := func(*schema.Configuration) {}
	if s.Now >= until {
		for _, h := range s.Gateways() {
			s.readConfiguration(h, ignore)
		}
		return
	}
	s.readConfiguration(s.anyGateway(), ignore)
	s.After(interval, func() { s.ReadPeriodically(interval, until) })
}
