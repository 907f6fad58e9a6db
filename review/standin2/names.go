package main

import (
	_ "embed" // The names and the configuration are data files.
	"encoding/json"
	"strconv"
	"strings"
)

// wireNames has the names of the platform's protocols, which stand in a data file.
type wireNames struct {
	Headers struct {
		ID, Deadline, Seal, ExpectedReplica, NotRun, LastEventID, Replica, Customer, Leaving, Era string
	}
	Calls struct {
		Key, Range, Watch, Transaction, Grant, Renew, Revoke string
	}
	ConfigurationKey, ReplicaPrefix string
}

//go:embed names.json
var namesFile []byte

//go:embed configuration.json
var configurationFile string

// names are the names of the platform's protocols.
var names = mustReadNames()

func mustReadNames() wireNames {
	var n wireNames
	if err := json.Unmarshal(namesFile, &n); err != nil {
		panic(err)
	}
	return n
}

// configuration returns the operator's configuration with a version.
func configuration(version int) []byte {
	return []byte(strings.Replace(configurationFile, "VERSION", strconv.Itoa(version), 1))
}
