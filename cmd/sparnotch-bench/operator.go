package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"sparnotch/internal/checker"
	"sparnotch/internal/schema"
)

const (
	operatorTimeout = 5 * time.Second
	operatorRetry   = 200 * time.Millisecond // between two attempts
	configPath      = "/v1/plan"
)

// configUpdate is the body of a request to apply a configuration.
type configUpdate struct {
	Generation     uint64                     `json:"generation"` // revision that the update is based on
	Rows           []*schema.ConfigurationRow `json:"rows"`
	NamesAreLabels bool                       `json:"names_are_labels"` // the names of queues with a route are labels
}

// routeLabels holds the names that an operator gives to the routes of queues, by queue. A queue
// that isn't in it is called by its name.
type routeLabels map[string]string

// named returns rows as the operator sends them, with labels in place of the names of queues.
func (l routeLabels) named(rows []*schema.ConfigurationRow) []*schema.ConfigurationRow {
	named := slices.Clone(rows)
	for k, row := range rows {
		if label := l[row.Name]; row.Kind == "queue" && label != "" {
			named[k] = &schema.ConfigurationRow{Kind: row.Kind, Name: label, Key: row.Key, Value: row.Value}
		}
	}
	return named
}

// applyConfig replaces the current configuration by another one and records each attempt. It
// reads the current revision and tries again until the configuration is accepted or the
// context ends. The rows have the names of queues; the operator sends their labels.
func applyConfig(ctx context.Context, balancer *loadBalancer, h *history, operator string, rows []*schema.ConfigurationRow, labels routeLabels) error {
	var last string
	for ctx.Err() == nil {
		address := balancer.pick("")
		code, data, err := balancer.call(ctx, operatorTimeout, "GET", address, configPath, nil, "")
		if err == nil && code == http.StatusOK {
			config := &schema.Configuration{}
			if err := protojson.Unmarshal(data, config); err != nil {
				return err
			}
			code, data, err = applyOnce(ctx, balancer, h, operator, address, config.Revision, rows, labels)
			if code == http.StatusOK {
				return nil
			}
		}
		last = fmt.Sprint(code, " ", string(data), err)
		sleep(ctx, operatorRetry)
	}
	return fmt.Errorf("the configuration was not accepted; the last answer was: %s", last)
}

// applyOnce sends a configuration based on a revision once and records the answer. It
// returns the HTTP status, or 0 when there was no answer, and the body of the answer.
func applyOnce(ctx context.Context, balancer *loadBalancer, h *history, operator, address string, revision uint64, rows []*schema.ConfigurationRow, labels routeLabels) (int32, []byte, error) {
	sentAt := h.now()
	h.add(checker.Event{At: sentAt, Kind: checker.ConfigurationSent, Actor: operator, Rows: rows})
	code, data, err := putConfiguration(ctx, balancer, address, revision, rows, labels)
	if err != nil {
		code = 0
	}
	if ctx.Err() != nil {
		return 0, data, ctx.Err()
	}
	e := checker.Event{Kind: checker.ConfigurationReply, Actor: operator, Code: code, BaseVersion: revision, Rows: rows, Gateway: address, SentAt: sentAt}
	if code == http.StatusOK {
		e.Version = revision + 1
	}
	h.add(e)
	return code, data, err
}

// putConfiguration sends a configuration based on a revision. It returns the HTTP status and
// the body of the answer.
func putConfiguration(ctx context.Context, balancer *loadBalancer, address string, revision uint64, rows []*schema.ConfigurationRow, labels routeLabels) (int32, []byte, error) {
	body, err := json.Marshal(configUpdate{revision, labels.named(rows), labels != nil})
	if err != nil {
		return 0, nil, err
	}
	return balancer.call(ctx, operatorTimeout, "PUT", address, configPath, body, "")
}

// readConfig reads the configuration from a gateway node and records the answer. It reports
// whether the node returned a configuration.
func readConfig(ctx context.Context, balancer *loadBalancer, h *history, address string) bool {
	sentAt := h.now()
	code, data, err := balancer.call(ctx, requestTimeout, "GET", address, configPath, nil, "")
	if ctx.Err() != nil {
		return false
	}
	config := &schema.Configuration{}
	if err != nil || code == http.StatusOK && protojson.Unmarshal(data, config) != nil {
		code = 0
	}
	h.add(checker.Event{Kind: checker.ConfigurationRead, Actor: "reader", Gateway: address, SentAt: sentAt, Code: code, Version: config.Revision, Rows: config.Rows})
	return code == http.StatusOK
}
