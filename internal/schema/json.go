package schema

import (
	"regexp"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// UnmarshalJSON reads a message from JSON as protojson does. A field that gives a json_name in
// the schema is also known by that name in lower camel case, which protojson derives only from
// names in the schema. Errors are those of protojson.
func UnmarshalJSON(data []byte, message proto.Message) error {
	err := protojson.Unmarshal(data, message)
	if err == nil {
		return nil
	}
	renamed := withJSONNames(data, message.ProtoReflect().Descriptor())
	if renamed == nil {
		return err
	}
	return protojson.Unmarshal(renamed, message)
}

// withJSONNames replaces object keys in lower camel case by the json_name that they stand for;
// nil if there are none. A string's content can't match, as quotes are escaped in it.
func withJSONNames(data []byte, descriptor protoreflect.MessageDescriptor) []byte {
	renamed := data
	for camel, name := range camelCaseNames(descriptor) {
		key := regexp.MustCompile(`"` + camel + `"(\s*:)`)
		renamed = key.ReplaceAll(renamed, []byte(`"`+name+`"$1`))
	}
	if string(renamed) == string(data) {
		return nil
	}
	return renamed
}

// camelCaseNames maps names in lower camel case to the json_name of the fields of a message and
// of the messages in it.
func camelCaseNames(descriptor protoreflect.MessageDescriptor) map[string]string {
	names := map[string]string{}
	fields := descriptor.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if camel := lowerCamelCase(field.JSONName()); camel != field.JSONName() {
			names[camel] = field.JSONName()
		}
		if inner := field.Message(); inner != nil && !field.IsMap() {
			for camel, name := range camelCaseNames(inner) {
				names[camel] = name
			}
		}
	}
	return names
}

// lowerCamelCase turns snake case into lower camel case.
func lowerCamelCase(name string) string {
	words := strings.Split(name, "_")
	for i, word := range words[1:] {
		if word != "" {
			words[i+1] = strings.ToUpper(word[:1]) + word[1:]
		}
	}
	return strings.Join(words, "")
}
