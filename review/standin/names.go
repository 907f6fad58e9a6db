package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names has the names that the platform's pages give to headers, keys and calls.
type names struct {
	// Headers of requests and answers.
	AttemptID, Seal, Deadline, ExpectReplica, ReplicaID, NotExecuted, Load string
	// Keys of the store: that of the configuration, and the prefix of the entries of replicas.
	Configuration, Replicas string
	// Calls of the store, without their slash.
	Get, Range, Watch, Transaction, Lease, Renew, EndLease string
	// GapTarget is the field of a route with the longest pause between events.
	GapTarget string
}

func loadNames() (names, error) {
	var n names
	err := json.Unmarshal(namesFile, &n)
	return n, err
}
