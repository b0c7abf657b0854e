package main

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"sparnotch/internal/schema"
)

// The CSV form of a configuration has a first line with its revision ("generation" in
// the interface), the column names, and the rows. The author's version ("edition")
// stands beside the revision where there is one, for display only: an update names
// its base by the revision alone.
const (
	revisionHeader = "#generation"
	versionHeader  = "#edition"
	byteOrderMark  = "\xef\xbb\xbf"
)

var columns = []string{"kind", "name", "key", "value"}

// writeConfigCSV writes the CSV form.
func writeConfigCSV(out io.Writer, config *schema.Configuration) error {
	w := csv.NewWriter(out)
	first := []string{revisionHeader, strconv.FormatUint(config.Revision, 10), "", ""}
	if config.Version > 0 {
		first[2], first[3] = versionHeader, strconv.FormatUint(config.Version, 10)
	}
	if err := w.Write(first); err != nil {
		return err
	}
	if err := w.Write(columns); err != nil {
		return err
	}
	for _, row := range config.Rows {
		if err := w.Write([]string{row.Kind, row.Name, row.Key, row.Value}); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

// parseUpdate reads an update from CSV, as a spreadsheet writes it, or from JSON.
// Errors of CSV name the line.
func parseUpdate(data []byte) (*schema.ConfigurationUpdate, error) {
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	if trimmed := bytes.TrimSpace(data); len(trimmed) > 0 && trimmed[0] == '{' {
		return parseJSONUpdate(trimmed)
	}
	return parseCSVUpdate(data)
}

func parseJSONUpdate(data []byte) (*schema.ConfigurationUpdate, error) {
	update := &schema.ConfigurationUpdate{}
	err := schema.UnmarshalJSON(data, update)
	if update.BaseRevision != nil {
		// An edit of what config-get has printed. With the version printed there it
		// would be taken for that version sent again, and ignored.
		update.Version, update.BaseVersion, update.Document = 0, 0, nil
	}
	return update, err
}

func parseCSVUpdate(data []byte) (*schema.ConfigurationUpdate, error) {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	if first, _, _ := strings.Cut(string(data), "\n"); strings.Count(first, ";") > strings.Count(first, ",") {
		reader.Comma = ';' // what spreadsheets write where the comma is the decimal sign
	}
	update := &schema.ConfigurationUpdate{}
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return update, nil
		}
		if err != nil {
			return nil, err
		}
		line, _ := reader.FieldPos(0)
		if err := addFields(update, trimFields(fields)); err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
	}
}

// trimFields trims spaces, and the empty fields that spreadsheets add.
func trimFields(fields []string) []string {
	for k := range fields {
		fields[k] = strings.TrimSpace(fields[k])
	}
	for len(fields) > len(columns) && fields[len(fields)-1] == "" {
		fields = fields[:len(fields)-1]
	}
	return fields
}

// addFields adds one line of CSV to an update.
func addFields(update *schema.ConfigurationUpdate, fields []string) error {
	switch {
	case strings.Join(fields, "") == "" || strings.Join(fields, ",") == strings.Join(columns, ","):
	case fields[0] == revisionHeader:
		if len(fields) < 2 {
			return errors.New("the generation is missing")
		}
		revision, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			return fmt.Errorf("%q is no generation", fields[1])
		}
		update.BaseRevision = proto.Uint64(revision)
	case len(fields) != len(columns):
		return fmt.Errorf("%d fields, a row has kind, name, key and value", len(fields))
	default:
		update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: fields[0], Name: fields[1], Key: fields[2], Value: fields[3]})
	}
	return nil
}
