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

// The CSV form of a configuration consists of a first line with its revision ("generation"
// in the interface), a line with the column names, and the rows. If the configuration has
// an author's version ("edition"), the first line also shows it. The version is only for
// display, since an update identifies the configuration on which it is based by the
// revision alone.
const (
	revisionHeader = "#generation"
	versionHeader  = "#edition"
	byteOrderMark  = "\xef\xbb\xbf"
)

var columns = []string{"kind", "name", "key", "value"}

// writeConfigCSV writes the CSV form of a configuration.
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

// parseUpdate parses an update from CSV or JSON. The CSV may have been written by a
// spreadsheet program. Errors in CSV name the line.
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
		// The JSON is an edited copy of the output of config-get. If it kept the version
		// in that output, the cluster would take the update for a repetition of that
		// version and ignore it.
		update.Version, update.BaseVersion, update.Document = 0, 0, nil
	}
	return update, err
}

func parseCSVUpdate(data []byte) (*schema.ConfigurationUpdate, error) {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.FieldsPerRecord = -1
	if first, _, _ := strings.Cut(string(data), "\n"); strings.Count(first, ";") > strings.Count(first, ",") {
		reader.Comma = ';' // the separator of spreadsheet programs in locales with a decimal comma
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

// trimFields removes spaces around fields, and the empty fields that spreadsheet programs add
// at the end of a line.
func trimFields(fields []string) []string {
	for k := range fields {
		fields[k] = strings.TrimSpace(fields[k])
	}
	for len(fields) > len(columns) && fields[len(fields)-1] == "" {
		fields = fields[:len(fields)-1]
	}
	return fields
}

// addFields adds the fields of one line of CSV to an update.
func addFields(update *schema.ConfigurationUpdate, fields []string) error {
	switch {
	case strings.Join(fields, "") == "" || strings.Join(fields, ",") == strings.Join(columns, ","):
	case fields[0] == revisionHeader:
		if len(fields) < 2 {
			return errors.New("the line has no generation")
		}
		revision, err := strconv.ParseUint(fields[1], 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a valid generation number", fields[1])
		}
		update.BaseRevision = proto.Uint64(revision)
	case len(fields) != len(columns):
		return fmt.Errorf("the line has %d fields, but a row has four: kind, name, key and value", len(fields))
	default:
		update.Rows = append(update.Rows, &schema.ConfigurationRow{Kind: fields[0], Name: fields[1], Key: fields[2], Value: fields[3]})
	}
	return nil
}
