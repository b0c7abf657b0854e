// Command gen makes the Go code of the schema: it reads the .proto files and
// drives protoc-gen-go at the version go.mod names, so no outside compiler is
// needed. Run it from the repository's top: go run ./internal/schema/gen
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
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

// Generate makes the code of every .proto file in a folder, by file name.
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
	// The plugin wants each file after those it imports.
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
	raw, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	plugin := exec.Command("go", "tool", "protoc-gen-go")
	plugin.Stdin, plugin.Stderr = bytes.NewReader(raw), os.Stderr
	answer, err := plugin.Output()
	if err != nil {
		return nil, fmt.Errorf("protoc-gen-go: %w", err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(answer, &response); err != nil {
		return nil, err
	}
	if response.Error != nil {
		return nil, fmt.Errorf("protoc-gen-go: %s", response.GetError())
	}
	made := map[string]string{}
	for _, file := range response.File {
		made[file.GetName()] = file.GetContent()
	}
	return made, nil
}
