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

// over are the known files and functions that exceed a limit, with their lines. Entries
// may become shorter, and are removed once they are within the limit; none is added.
var over = map[string]int{}

// TestSizes: no file exceeds maxFileLines and no function maxFunctionLines, but for those
// listed. Tests and generated code are exempt.
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
		switch limit, listed := over[name]; {
		case !listed:
			t.Errorf("%s has %d lines: split it", name, lines)
		case lines > limit:
			t.Errorf("%s grew from %d to %d lines", name, limit, lines)
		case lines < limit:
			t.Errorf("%s has %d lines, the list says %d: lower the entry", name, lines, limit)
		}
	}
	for name := range over {
		if _, exceeds := found[name]; !exceeds {
			t.Errorf("%s is within the limits: remove its entry", name)
		}
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
