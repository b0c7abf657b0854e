// Package codesize holds the test that keeps files and functions short. It has no code
// of its own.
package codesize
