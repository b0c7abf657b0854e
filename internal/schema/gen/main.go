// Command gen generates the Go code of the schema. It parses the .proto files itself and runs
// protoc-gen-go in the version that go.mod specifies, so protoc needn't be installed. Run it
// in the root directory of the repository: go run ./internal/schema/gen
package main

import (
	"bytes"
	"context"
	"fmt"
	"go/format"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	files, err := Generate("internal/schema")
	for name, content := range files {
		if err == nil {
			err = os.WriteFile(filepath.Join("internal/schema", name), []byte(content), 0o644)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

// Generate returns the Go code generated from all .proto files of a directory, by file name.
func Generate(folder string) (map[string]string, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.proto"))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, path := range paths {
		names = append(names, filepath.Base(path))
	}
	sort.Strings(names)
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{folder}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), names...)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: names, Parameter: proto.String("paths=source_relative")}
	// The plugin requires each file to come after the files that it imports.
	done := map[string]bool{}
	var add func(name string)
	add = func(name string) {
		if done[name] {
			return
		}
		done[name] = true
		file := files.FindFileByPath(name)
		for i := 0; i < file.Imports().Len(); i++ {
			add(file.Imports().Get(i).Path())
		}
		request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(file))
	}
	for _, name := range names {
		add(name)
	}
	response, err := runPlugin(request)
	if err != nil {
		return nil, err
	}
	tags := jsonTags(files)
	generated := map[string]string{}
	for _, file := range response.File {
		content, err := format.Source([]byte(tags.Replace(file.GetContent())))
		if err != nil {
			return nil, fmt.Errorf("formatting %s: %w", file.GetName(), err)
		}
		generated[file.GetName()] = string(content)
	}
	return generated, nil
}

// runPlugin runs protoc-gen-go with a request and returns its response.
func runPlugin(request *pluginpb.CodeGeneratorRequest) (*pluginpb.CodeGeneratorResponse, error) {
	raw, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	plugin := exec.Command("go", "tool", "protoc-gen-go")
	plugin.Stdin, plugin.Stderr = bytes.NewReader(raw), os.Stderr
	output, err := plugin.Output()
	if err != nil {
		return nil, fmt.Errorf("protoc-gen-go: %w", err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return nil, err
	}
	if response.Error != nil {
		return nil, fmt.Errorf("protoc-gen-go: %s", response.GetError())
	}
	return &response, nil
}

// jsonTags returns a replacer for the struct tags that encoding/json reads. protoc-gen-go
// generates them with the names in the schema; the replacer substitutes the json_name of each
// field that has one.
func jsonTags(files linker.Files) *strings.Replacer {
	var pairs []string
	for _, file := range files {
		messages := file.Messages()
		for i := 0; i < messages.Len(); i++ {
			fields := messages.Get(i).Fields()
			for j := 0; j < fields.Len(); j++ {
				field := fields.Get(j)
				if !hasJSONName(field) {
					continue
				}
				// The generated tags of a field have this form:
				// `protobuf:"varint,9,opt,name=fencing_token,json=ward,proto3" json:"fencing_token,omitempty"`
				tag := fmt.Sprintf(`name=%s,json=%s,proto3`, field.Name(), field.JSONName())
				if field.HasOptionalKeyword() {
					tag += ",oneof"
				}
				generated := fmt.Sprintf(`%s" json:"%s,`, tag, field.Name())
				wanted := fmt.Sprintf(`%s" json:"%s,`, tag, field.JSONName())
				pairs = append(pairs, generated, wanted)
			}
		}
	}
	return strings.NewReplacer(pairs...)
}

// hasJSONName reports whether a field has a json_name that differs from the default, which is
// the name in the schema in lower camel case.
func hasJSONName(field protoreflect.FieldDescriptor) bool {
	return field.JSONName() != defaultJSONName(string(field.Name()))
}

// defaultJSONName returns the JSON name that protobuf derives from a field's name by default,
// in lower camel case.
func defaultJSONName(name string) string {
	words := strings.Split(name, "_")
	for i, word := range words[1:] {
		if word != "" {
			words[i+1] = strings.ToUpper(word[:1]) + word[1:]
		}
	}
	return strings.Join(words, "")
}
