package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"sparnotch/internal/schema"
)

// Exit codes of the commands that call nodes or read files.
const (
	exitFailed   = subcommands.ExitFailure   // 1: no response, or an unexpected one
	exitUsage    = subcommands.ExitStatus(2) // invalid flags, arguments or files
	exitRejected = subcommands.ExitStatus(3) // the request or the file was rejected
	exitDiffers  = subcommands.ExitStatus(4) // the compared states or configurations differ
)

const exitHelp = "  Exit codes: 0 done, 1 no response, 2 invalid flags, 3 rejected, 4 compared data differs.\n"

const (
	maxResponseBytes  = 64 << 20
	maxRequestTimeout = 6 * time.Second        // for one request to one node
	retryDelay        = 200 * time.Millisecond // pause after each node has been tried once
)

// nodeClient calls the nodes whose addresses are given by the flag -nodes. Commands that call
// nodes embed it.
type nodeClient struct {
	addresses string        // comma-separated IP:port
	timeout   time.Duration // for all attempts together
	key       string        // tenant's key that requests carry; empty means that they carry none
}

// register adds the flags of the client to a flag set.
func (n *nodeClient) register(set *flag.FlagSet) {
	set.StringVar(&n.addresses, "nodes", os.Getenv("SPARNOTCH_NODES"), "comma-separated HTTP addresses (IP:port) of nodes; the first node that responds is used (default: $SPARNOTCH_NODES)")
	set.DurationVar(&n.timeout, "span", 15*time.Second, "how long to retry the request before giving up")
}

// registerForJobs adds the flags of the client to a flag set, for a command whose requests may
// need a tenant's key. It reads the key from $SPARNOTCH_KEY.
func (n *nodeClient) registerForJobs(set *flag.FlagSet) {
	n.register(set)
	n.key = os.Getenv("SPARNOTCH_KEY")
}

// printError prints an error message to standard error.
func printError(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "sparnotchctl: "+format+"\n", args...)
}

// sendOnce sends one request to one node and returns the status code and body of its response.
// The request carries the tenant's key unless the key is empty.
func sendOnce(timeout time.Duration, key, method, address, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Sparnotch-Client", "sparnotchctl")
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	client := &http.Client{Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, data, err
}

// call sends a request to the nodes in turn until one of them gives a final response, and
// returns its body. It prints an error if there is no such response or if the request is
// rejected. Every request may be repeated safely: jobs and cancellations are identified by
// the job's name, configurations by the generation on which they are based.
func (n *nodeClient) call(method, path string, body []byte) ([]byte, subcommands.ExitStatus) {
	var addresses []string
	for _, address := range strings.Split(n.addresses, ",") {
		if address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		printError("nodes: at least one address is required (set -nodes or $SPARNOTCH_NODES)")
		return nil, exitUsage
	}
	lastError := "no node responded"
	for deadline, attempt := time.Now().Add(n.timeout), 0; time.Now().Before(deadline); attempt++ {
		address := addresses[attempt%len(addresses)]
		code, data, err := sendOnce(min(n.timeout, maxRequestTimeout), n.key, method, address, path, body)
		switch {
		case err != nil:
			lastError = err.Error()
		case code < 300:
			return data, subcommands.ExitSuccess
		case code >= 500 || code == http.StatusTooManyRequests:
			lastError = fmt.Sprintf("node %s responded with status %d: %s", address, code, strings.TrimSpace(string(data)))
		default:
			printRejection(code, data)
			return data, exitRejected
		}
		if attempt%len(addresses) == len(addresses)-1 {
			time.Sleep(retryDelay)
		}
	}
	printError("%s", lastError)
	return nil, exitFailed
}

// printAnswer calls the nodes and prints the body of a successful response to standard output
// unchanged.
func (n *nodeClient) printAnswer(method, path string, body []byte) subcommands.ExitStatus {
	data, status := n.call(method, path, body)
	if status == subcommands.ExitSuccess {
		os.Stdout.Write(data)
	}
	return status
}

// printRejection prints the reason why a request was rejected.
func printRejection(code int, data []byte) {
	rejection := &schema.Error{}
	if json.Unmarshal(data, rejection) != nil || rejection.Code == "" {
		printError("the request was rejected (%d): %s", code, strings.TrimSpace(string(data)))
		return
	}
	text := fmt.Sprintf("the request was rejected (%d, %s): %s", code, rejection.Code, rejection.Message)
	if rejection.Field != "" {
		text += " [" + rejection.Field + "]"
	}
	if code == http.StatusPreconditionFailed {
		text += fmt.Sprintf(" (the update is based on generation %d, but the current generation is %d)", rejection.Given, rejection.Current)
	}
	printError("%s", text)
}
