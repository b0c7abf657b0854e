package schema

import (
	"regexp"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// UnmarshalJSON decodes a message from JSON like protojson.Unmarshal, whose errors it returns.
// In addition it accepts the json_name of a field in lower camel case. protojson accepts only
// the json_name and the field's name in the schema.
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

// withJSONNames replaces object keys in lower camel case with the json_name of the field that
// they refer to. It returns nil if data contains no such keys. The contents of strings can't
// match, because quotes are escaped in them.
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

// camelCaseNames returns the json_name of each field of a message and of the messages nested
// in it, by the json_name in lower camel case. Fields whose json_name is the same in lower
// camel case are omitted.
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

// lowerCamelCase converts a name from snake case to lower camel case.
func lowerCamelCase(name string) string {
	words := strings.Split(name, "_")
	for i, word := range words[1:] {
		if word != "" {
			words[i+1] = strings.ToUpper(word[:1]) + word[1:]
		}
	}
	return strings.Join(words, "")
}
