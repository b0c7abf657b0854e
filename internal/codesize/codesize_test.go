package codesize

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	maxFileLines     = 500
	maxFunctionLines = 60
)

// TestSizes: no file exceeds maxFileLines and no function maxFunctionLines. Tests and
// generated code are exempt.
func TestSizes(t *testing.T) {
	found := map[string]int{}
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (strings.HasPrefix(entry.Name(), ".") && entry.Name() != ".." || entry.Name() == "target" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		isOurs := strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") && !strings.HasSuffix(path, ".pb.go")
		if entry.IsDir() || !isOurs {
			return nil
		}
		return measure(path, found)
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, lines := range found {
		t.Errorf("%s has %d lines: split it", name, lines)
	}
}

// measure adds to found what in a file exceeds a limit, with its lines.
func measure(path string, found map[string]int) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	name := strings.TrimPrefix(filepath.ToSlash(path), "../../")
	if lines := bytes.Count(data, []byte("\n")); lines > maxFileLines {
		found[name] = lines
	}
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, data, 0)
	if err != nil {
		return err
	}
	for _, declaration := range file.Decls {
		function, isFunction := declaration.(*ast.FuncDecl)
		if !isFunction || function.Body == nil {
			continue
		}
		lines := files.Position(function.Body.Rbrace).Line - files.Position(function.Body.Lbrace).Line - 1
		if lines > maxFunctionLines {
			found[fmt.Sprintf("%s %s", name, function.Name.Name)] = lines
		}
	}
	return nil
}
