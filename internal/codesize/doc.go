// Package codesize has the test that limits the length of files and functions. It has no
// code of its own.
package codesize
